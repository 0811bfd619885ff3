/**
 * Conversion between membership messages and their protobuf form (pb/membership.proto).
 *
 * Owns the layout of entries. Relies on the generated protobuf code, and on the sender for nothing: malformed
 * entries are refused.
 */
import type { Endpoint } from '../../common/types.js';
import { sailquay } from './pb/membership.js';
import {
  LIFECYCLES,
  type Lifecycle,
  type MemberIdentity,
  type MemberRecord,
  type MemberVersion,
} from './member-record.js';

const { MemberEntry, MembershipMessage } = sailquay.membership;

/** Message types by their number on the wire. */
export const MessageType = sailquay.membership.MessageType;
export type WireMessage = sailquay.membership.MembershipMessage;
type EntryFields = sailquay.membership.MemberEntry.$Properties;
export type WireMessageFields = sailquay.membership.MembershipMessage.$Properties;

const LIFECYCLE_MASK = 7;
const SUSPECTED_BIT = 8;
const ENDPOINT_BYTES = 6;
const HOST_BYTES = 4;
const SHARED_HOST_BYTES = 10;

/** An update about one member as it arrives; `identity` is absent in the short form. */
export interface MemberUpdate extends MemberVersion {
  readonly idHash: number;
  readonly identity: MemberIdentity | undefined;
  readonly lifecycle: Lifecycle;
  readonly suspected: boolean;
  /** Hash of the id of the accuser; 0 when not suspected. */
  readonly accuserHash: number;
}

/** Encodes a message. */
export function encodeMessage(fields: WireMessageFields): Uint8Array {
  return MembershipMessage.encode(fields).finish();
}

/** Decodes a message; undefined when it is malformed. */
export function decodeMessage(payload: Uint8Array): WireMessage | undefined {
  try {
    return MembershipMessage.decode(payload) as WireMessage;
  } catch {
    // The receiver logs malformed messages with their sender.
    return undefined;
  }
}

/** Introductions already encoded; a state exchange sends each record to many members. */
const encodedIntroductions = new WeakMap<MemberRecord, Uint8Array>();

/** Encodes what is known of a member; `introduce` adds id, zone and endpoints. */
export function encodeEntry(record: MemberRecord, introduce: boolean, accuserHash = 0): Uint8Array {
  if (!introduce) return encodeFields(record, { idHash: record.idHash }, accuserHash);
  const encoded = encodedIntroductions.get(record);
  if (encoded && !record.suspected) return encoded;
  const { identity } = record;
  const introduction = { id: identity.id, zone: identity.zone, endpoints: encodeEndpoints(identity) };
  const bytes = encodeFields(record, introduction, accuserHash);
  encodedIntroductions.set(record, bytes);
  return bytes;
}

function encodeFields(record: MemberRecord, name: EntryFields, accuserHash: number): Uint8Array {
  return MemberEntry.encode({
    ...name,
    incarnation: record.incarnation,
    refutation: record.refutation || undefined,
    state: LIFECYCLES.indexOf(record.lifecycle) | (record.suspected ? SUSPECTED_BIT : 0) || undefined,
    accuserHash: record.suspected ? accuserHash : undefined,
  }).finish();
}

/** Decodes an entry; undefined when it is malformed. `hashId` is `hashString`. */
export function decodeEntry(bytes: Uint8Array, hashId: (id: string) => number): MemberUpdate | undefined {
  let entry: sailquay.membership.MemberEntry;
  try {
    entry = MemberEntry.decode(bytes) as sailquay.membership.MemberEntry;
  } catch {
    // The receiver logs it and uses the other entries of the message.
    return undefined;
  }
  const lifecycle = LIFECYCLES[entry.state & LIFECYCLE_MASK];
  if (lifecycle === undefined || !Number.isSafeInteger(entry.incarnation)) return undefined;
  const identity = entry.id ? decodeIdentity(entry) : undefined;
  if (entry.id && !identity) return undefined;
  return {
    idHash: identity ? hashId(identity.id) : entry.idHash,
    identity,
    incarnation: entry.incarnation,
    refutation: entry.refutation,
    lifecycle,
    suspected: (entry.state & SUSPECTED_BIT) !== 0,
    accuserHash: entry.accuserHash,
  };
}

function decodeIdentity(entry: sailquay.membership.MemberEntry): MemberIdentity | undefined {
  const bytes = entry.endpoints;
  if (bytes.length !== SHARED_HOST_BYTES && bytes.length !== 3 * ENDPOINT_BYTES) return undefined;
  const shared = bytes.length === SHARED_HOST_BYTES;
  return {
    id: entry.id,
    zone: entry.zone,
    control: decodeEndpoint(bytes, 0, HOST_BYTES),
    admin: shared ? decodeEndpoint(bytes, 0, 6) : decodeEndpoint(bytes, 6, 10),
    data: shared ? decodeEndpoint(bytes, 0, 8) : decodeEndpoint(bytes, 12, 16),
  };
}

function decodeEndpoint(bytes: Uint8Array, hostAt: number, portAt: number): Endpoint {
  const host = `${bytes[hostAt]}.${bytes[hostAt + 1]}.${bytes[hostAt + 2]}.${bytes[hostAt + 3]}`;
  return { host, port: (bytes[portAt]! << 8) | bytes[portAt + 1]! };
}

function encodeEndpoints({ control, admin, data }: MemberIdentity): Uint8Array {
  const shared = control.host === admin.host && control.host === data.host;
  const bytes: number[] = [];
  for (const endpoint of [control, admin, data]) {
    if (!shared || endpoint === control) bytes.push(...endpoint.host.split('.').map(Number));
    bytes.push(endpoint.port >>> 8, endpoint.port & 0xff);
  }
  return Uint8Array.from(bytes);
}
