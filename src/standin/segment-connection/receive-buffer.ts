/** Puts arriving payloads in order. */
import { RECEIVE_WINDOW_BYTES } from './constants.js';
import { advanceSequence, sequenceDistance } from './sequence.js';

/** Payloads that are past the next expected byte, and what that byte is. */
export class ReceiveBuffer {
  private readonly early = new Map<number, Buffer>();
  /** Sequence number of the peer's end; undefined until its FIN arrived. */
  private finalSequence: number | undefined;

  constructor(private expected: number) {}

  /** Next expected sequence number: what a cumulative acknowledgement carries. */
  get next(): number {
    return this.expected;
  }

  /** Takes a payload; returns the bytes that are now in order (often one buffer, possibly none). */
  take(sequence: number, payload: Buffer): Buffer[] {
    const inOrder: Buffer[] = [];
    const ahead = sequenceDistance(this.expected, sequence);
    if (payload.length === 0 || ahead > RECEIVE_WINDOW_BYTES) return inOrder;
    if (ahead > 0) {
      this.early.set(sequence, payload);
      return inOrder;
    }
    if (-ahead >= payload.length) return inOrder;
    this.deliver(payload.subarray(-ahead), inOrder);
    return inOrder;
  }

  /** Notes that the peer's stream ends at `sequence`. */
  takeEnd(sequence: number): void {
    this.finalSequence = sequence;
  }

  /** True once, when every byte before the peer's end has been taken; the end itself is then counted. */
  reachedEnd(): boolean {
    if (this.finalSequence !== this.expected) return false;
    this.finalSequence = undefined;
    this.expected = advanceSequence(this.expected, 1);
    return true;
  }

  private deliver(payload: Buffer, inOrder: Buffer[]): void {
    inOrder.push(payload);
    this.expected = advanceSequence(this.expected, payload.length);
    const following = this.early.get(this.expected);
    if (!following) return;
    this.early.delete(this.expected);
    this.deliver(following, inOrder);
  }
}
