/**
 * Writes log lines to a file descriptor without ever blocking the caller: lines gather in a bounded buffer that is written
 * now and then, one write at a time. What does not fit is left out and counted in the log itself.
 */
import { write, writeSync } from 'node:fs';
import type { Clock } from '../common/clock.js';

/** Lines gather this long before they are written. */
const GATHER_MS = 300;

/** Characters that may wait; more are left out. */
const MAX_WAITING = 262_144;

/** The last lines are tried to be written for this long, as long as their reader takes none. */
const FLUSH_LIMIT_MS = 50;

/** See the module. */
export class LineWriter {
  private waiting: string[] = [];
  private waitingLength = 0;
  private leftOut = 0;
  private scheduled = false;
  private writing = false;

  constructor(
    private readonly clock: Clock,
    private readonly descriptor: number = process.stdout.fd,
  ) {}

  /** Lines left out since start. */
  get leftOutCount(): number {
    return this.leftOut;
  }

  readonly write = (line: string): void => {
    if (this.waitingLength + line.length > MAX_WAITING) {
      this.leftOut += 1;
      return;
    }
    this.waiting.push(line, '\n');
    this.waitingLength += line.length + 1;
    this.arm();
  };

  /** Writes what waits before the process ends, also to a reader that is slow, within a bound. */
  flush(): void {
    if (this.waiting.length === 0) return;
    let bytes = Buffer.from(this.take());
    const endMs = this.clock.now() + FLUSH_LIMIT_MS;
    while (bytes.length > 0 && this.clock.now() < endMs) bytes = bytes.subarray(this.writeSome(bytes));
  }

  /** Bytes written; 0 when the reader takes none now or is gone. */
  private writeSome(bytes: Buffer): number {
    try {
      return writeSync(this.descriptor, bytes);
    } catch {
      return 0;
    }
  }

  private arm(): void {
    if (this.scheduled || this.writing) return;
    this.scheduled = true;
    this.clock.schedule(GATHER_MS, () => {
      this.scheduled = false;
      this.writeNow();
    });
  }

  private writeNow(): void {
    if (this.waiting.length === 0) return;
    this.writeAll(Buffer.from(this.take()));
  }

  private writeAll(bytes: Buffer): void {
    this.writing = true;
    write(this.descriptor, bytes, (error, written) => {
      this.writing = false;
      if (!error && written < bytes.length) this.writeAll(bytes.subarray(written));
      else if (this.waiting.length > 0) this.arm();
    });
  }

  private take(): string {
    const text = this.waiting.join('');
    this.waiting = [];
    this.waitingLength = 0;
    return text;
  }
}
