/** Length-prefixed JSON messages with a checksum over a byte stream. */
import { hashString } from '../../common/hash.js';

/** Bytes before each message: 4 of length, 4 of checksum, both big-endian. */
const PREFIX_BYTES = 8;

/** Writes one message. */
export function encodeMessage(message: unknown): Buffer {
  const body = JSON.stringify(message);
  const bodyBytes = Buffer.byteLength(body);
  const frame = Buffer.allocUnsafe(PREFIX_BYTES + bodyBytes);
  frame.writeUInt32BE(bodyBytes, 0);
  frame.writeUInt32BE(hashString(body), 4);
  frame.write(body, PREFIX_BYTES);
  return frame;
}

/** Cuts a byte stream into messages; `undefined` stands for one whose checksum is wrong. */
export class MessageReader<T> {
  private pending: Buffer = Buffer.alloc(0);

  push(bytes: Buffer): (T | undefined)[] {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    const messages: (T | undefined)[] = [];
    while (this.complete()) messages.push(this.next());
    return messages;
  }

  private complete(): boolean {
    if (this.pending.length < PREFIX_BYTES) return false;
    return this.pending.length >= PREFIX_BYTES + this.pending.readUInt32BE(0);
  }

  private next(): T | undefined {
    const end = PREFIX_BYTES + this.pending.readUInt32BE(0);
    const checksum = this.pending.readUInt32BE(4);
    const body = this.pending.toString('utf8', PREFIX_BYTES, end);
    this.pending = this.pending.subarray(end);
    return hashString(body) === checksum ? (JSON.parse(body) as T) : undefined;
  }
}
