/** Segments that wait to be sent or acknowledged. */
import { MAX_SEGMENT_BYTES, MAX_SEGMENTS_IN_FLIGHT } from './constants.js';
import { advanceSequence, sequenceDistance } from './sequence.js';

/** A segment with its place in the stream; a SYN or FIN takes one sequence number. */
export interface QueuedSegment {
  readonly sequence: number;
  readonly payload: Buffer;
  readonly syn: boolean;
  readonly fin: boolean;
}

const EMPTY = Buffer.alloc(0);

function span(segment: QueuedSegment): number {
  return segment.payload.length + (segment.syn || segment.fin ? 1 : 0);
}

/** An ordered queue: in flight first, then not yet sent. */
export class SendQueue {
  private segments: QueuedSegment[] = [];
  private inFlight = 0;

  constructor(private nextSequence: number) {}

  /** Sequence number of a segment without payload: after everything that was sent. */
  get sentUntil(): number {
    const last = this.segments[this.inFlight - 1];
    if (last) return advanceSequence(last.sequence, span(last));
    return this.segments[0]?.sequence ?? this.nextSequence;
  }

  get oldest(): QueuedSegment | undefined {
    return this.inFlight > 0 ? this.segments[0] : undefined;
  }

  get empty(): boolean {
    return this.segments.length === 0;
  }

  addSyn(): void {
    this.add(EMPTY, true, false);
  }

  addFin(): void {
    this.add(EMPTY, false, true);
  }

  addData(data: Buffer): void {
    for (let start = 0; start < data.length; start += MAX_SEGMENT_BYTES) {
      this.add(data.subarray(start, start + MAX_SEGMENT_BYTES), false, false);
    }
  }

  /** Moves waiting segments in flight while there is room and returns them. */
  takeSendable(): QueuedSegment[] {
    const sendable = this.segments.slice(this.inFlight, MAX_SEGMENTS_IN_FLIGHT);
    this.inFlight += sendable.length;
    return sendable;
  }

  /** Drops what `acknowledgement` covers; true when that was anything. */
  acknowledge(acknowledgement: number): boolean {
    if (sequenceDistance(this.sentUntil, acknowledgement) > 0) return false;
    let covered = 0;
    while (covered < this.inFlight && this.covers(acknowledgement, this.segments[covered]!)) covered += 1;
    this.segments.splice(0, covered);
    this.inFlight -= covered;
    return covered > 0;
  }

  private covers(acknowledgement: number, segment: QueuedSegment): boolean {
    return sequenceDistance(advanceSequence(segment.sequence, span(segment)), acknowledgement) >= 0;
  }

  private add(payload: Buffer, syn: boolean, fin: boolean): void {
    const segment = { sequence: this.nextSequence, payload, syn, fin };
    this.segments.push(segment);
    this.nextSequence = advanceSequence(this.nextSequence, span(segment));
  }
}
