/**
 * Writes log lines without ever blocking the caller: lines gather for a moment, and what its reader does not take waits in the
 * stream up to a bound. What goes beyond is left out and counted.
 */
import type { Writable } from 'node:stream';
import type { Clock } from '../common/clock.js';

/** Lines gather this long before they are written. */
const GATHER_MS = 300;

/** Characters that may wait, gathered or in the stream; more are left out. */
const MAX_WAITING = 262_144;

/** The part of a stream that is used. Node writes to pipes at once and keeps what they do not take. */
export type LineStream = Pick<Writable, 'write' | 'writableLength'>;

/** See the module. */
export class LineWriter {
  private waiting: string[] = [];
  private waitingLength = 0;
  private leftOut = 0;
  private scheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly stream: LineStream = process.stdout,
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
    this.waiting.push(line, '\n');
    this.waitingLength += line.length + 1;
    if (this.scheduled) return;
    this.scheduled = true;
    this.clock.schedule(GATHER_MS, () => {
      this.scheduled = false;
      this.flush();
    });
  };

  /** Hands everything that waits to the stream. */
  flush(): void {
    if (this.waiting.length === 0) return;
    const text = this.waiting.join('');
    this.waiting = [];
    this.waitingLength = 0;
    this.stream.write(text);
  }
}
