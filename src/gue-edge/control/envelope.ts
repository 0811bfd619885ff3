/**
 * Datagram layout: the protobuf `Envelope`, then the truncated HMAC over the receiver's address and the envelope.
 *
 * Owns the layout. Relies on the key ring for the code, and on the wire numbers of the kinds (`types.ts`), which
 * never change.
 */
import { CONTROL_KINDS, MAX_CONTROL_PAYLOAD_BYTES, type ControlKind } from './types.js';
import { IP_UDP_HEADER_BYTES, MAC_BYTES, MAX_DATAGRAM_BYTES, MAX_SENDER_ID_BYTES } from './constants.js';
import type { KeyRing } from './key-ring.js';
import { sailquay } from './pb/control.js';

const Envelope = sailquay.control.Envelope;
const TWO_POW_32 = 0x1_0000_0000;

/** Contents of a datagram. */
export interface ControlEnvelope {
  readonly versionMin: number;
  readonly versionMax: number;
  readonly senderId: string;
  readonly senderIncarnation: number;
  /** 1 to 2^53 - 1. */
  readonly sequence: number;
  /** Sender's wall clock, seconds since the epoch. */
  readonly wallSeconds: number;
  readonly kind: ControlKind;
  readonly payload: Uint8Array;
}

/** Why a datagram could not be opened. */
type EnvelopeFault = 'malformed' | 'forged' | 'unknown-key';

/** Result of opening a datagram. */
type OpenedEnvelope =
  | { readonly outcome: 'opened'; readonly envelope: ControlEnvelope }
  | { readonly outcome: 'rejected'; readonly fault: EnvelopeFault };

/** Encodes and signs a datagram for the receiver at `recipient` (`host:port`). */
export function sealEnvelope(envelope: ControlEnvelope, recipient: string, keys: KeyRing): Buffer {
  const sequenceHigh = Math.floor(envelope.sequence / TWO_POW_32);
  const body = Envelope.encode({
    versionMin: envelope.versionMin,
    versionMax: envelope.versionMax,
    keyId: keys.activeId,
    senderId: envelope.senderId,
    senderIncarnation: envelope.senderIncarnation,
    sequenceLow: envelope.sequence >>> 0,
    sequenceHigh: sequenceHigh === 0 ? undefined : sequenceHigh,
    wallSeconds: envelope.wallSeconds,
    kind: CONTROL_KINDS.indexOf(envelope.kind) + 1,
    payload: envelope.payload,
  }).finish();
  return Buffer.concat([body, keys.sign(recipient, body)]);
}

/** Decodes and verifies a datagram that arrived at `recipient`, this process's advertised address. */
export function openEnvelope(datagram: Uint8Array, recipient: string, keys: KeyRing): OpenedEnvelope {
  if (datagram.length <= MAC_BYTES || datagram.length > MAX_DATAGRAM_BYTES) return rejected('malformed');
  const body = datagram.subarray(0, datagram.length - MAC_BYTES);
  const decoded = decodeBody(body);
  if (!decoded) return rejected('malformed');
  const verification = keys.verify(decoded.keyId, recipient, body, datagram.subarray(body.length));
  if (verification !== 'valid') return rejected(verification);
  const envelope = toControlEnvelope(decoded);
  return envelope ? { outcome: 'opened', envelope } : rejected('malformed');
}

/**
 * Bytes on the wire of one message, IP and UDP headers included, while versions and key id fit one byte and the
 * sequence number three. Used by the simulated network.
 */
export function messageWireBytes(senderId: string, payloadBytes: number): number {
  const versionsKeyAndKind = 8;
  const idBytes = 2 + Buffer.byteLength(senderId);
  const incarnationBytes = 9;
  const sequenceBytes = 4;
  const wallBytes = 5;
  const payloadHeaderBytes = payloadBytes === 0 ? 0 : payloadBytes < 128 ? 2 : 3;
  const envelopeBytes =
    versionsKeyAndKind + idBytes + incarnationBytes + sequenceBytes + wallBytes + payloadHeaderBytes;
  return IP_UDP_HEADER_BYTES + envelopeBytes + payloadBytes + MAC_BYTES;
}

function decodeBody(body: Uint8Array): sailquay.control.Envelope | undefined {
  try {
    return Envelope.decode(body) as sailquay.control.Envelope;
  } catch {
    // The channel counts envelopes that cannot be decoded as malformed.
    return undefined;
  }
}

function toControlEnvelope(decoded: sailquay.control.Envelope): ControlEnvelope | undefined {
  const kind = CONTROL_KINDS[decoded.kind - 1];
  const sequence = decoded.sequenceHigh * TWO_POW_32 + decoded.sequenceLow;
  const idBytes = Buffer.byteLength(decoded.senderId);
  const sound =
    kind !== undefined &&
    idBytes > 0 &&
    idBytes <= MAX_SENDER_ID_BYTES &&
    decoded.payload.length <= MAX_CONTROL_PAYLOAD_BYTES &&
    Number.isSafeInteger(sequence) &&
    sequence > 0 &&
    Number.isSafeInteger(decoded.senderIncarnation) &&
    decoded.versionMin <= decoded.versionMax;
  if (!sound) return undefined;
  return {
    versionMin: decoded.versionMin,
    versionMax: decoded.versionMax,
    senderId: decoded.senderId,
    senderIncarnation: decoded.senderIncarnation,
    sequence,
    wallSeconds: decoded.wallSeconds,
    kind,
    payload: decoded.payload,
  };
}

function rejected(fault: EnvelopeFault): OpenedEnvelope {
  return { outcome: 'rejected', fault };
}
