/** Conversion between membership messages and their protobuf form (pb/membership.proto). */
import type { Endpoint } from '../common/types.js';
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
export type WireMessageFields = sailquay.membership.MembershipMessage.$Properties;

const LIFECYCLE_MASK = 7;
const SUSPECTED_BIT = 8;
const ENDPOINT_BYTES = 6;
const SHARED_HOST_BYTES = 10;

/** News about one member as it arrives; `identity` is absent in the short form. */
export interface MemberNews extends MemberVersion {
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
    return undefined;
  }
}

/** Encodes what is known of a member; `introduce` adds id, zone and endpoints. */
export function encodeEntry(record: MemberRecord, introduce: boolean, accuserHash = 0): Uint8Array {
  const { identity } = record;
  return MemberEntry.encode({
    id: introduce ? identity.id : undefined,
    idHash: introduce ? undefined : record.idHash,
    zone: introduce ? identity.zone : undefined,
    endpoints: introduce ? encodeEndpoints(identity) : undefined,
    incarnation: record.incarnation,
    refutation: record.refutation || undefined,
    state: LIFECYCLES.indexOf(record.lifecycle) | (record.suspected ? SUSPECTED_BIT : 0) || undefined,
    accuserHash: record.suspected ? accuserHash : undefined,
  }).finish();
}

/** Decodes an entry; undefined when it is malformed. `hashId` is `hashString`. */
export function decodeEntry(bytes: Uint8Array, hashId: (id: string) => number): MemberNews | undefined {
  let entry: sailquay.membership.MemberEntry;
  try {
    entry = MemberEntry.decode(bytes) as sailquay.membership.MemberEntry;
  } catch {
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
  const bytes = Buffer.from(entry.endpoints);
  if (bytes.length !== SHARED_HOST_BYTES && bytes.length !== 3 * ENDPOINT_BYTES) return undefined;
  const shared = bytes.length === SHARED_HOST_BYTES;
  const endpointAt = (index: number): Endpoint => {
    const hostAt = shared ? 0 : index * ENDPOINT_BYTES;
    const portAt = shared ? 4 + index * 2 : hostAt + 4;
    return { host: bytes.subarray(hostAt, hostAt + 4).join('.'), port: bytes.readUInt16BE(portAt) };
  };
  return {
    id: entry.id,
    zone: entry.zone,
    control: endpointAt(0),
    admin: endpointAt(1),
    data: endpointAt(2),
  };
}

function encodeEndpoints({ control, admin, data }: MemberIdentity): Buffer {
  const shared = control.host === admin.host && control.host === data.host;
  const parts = [control, admin, data].flatMap((endpoint, index) => {
    const host = shared && index > 0 ? [] : endpoint.host.split('.').map(Number);
    return [...host, endpoint.port >>> 8, endpoint.port & 0xff];
  });
  return Buffer.from(parts);
}
