/**
 * Shares with peers at which back end a caller completed the handshake of a contested flow, and finds the back end of a
 * flow that this daemon does not know. A SYN+ACK that the caller did not acknowledge replaces its cookie, so the cookie
 * alone would lead the flow to a back end that does not hold it. Owns no state: `HandshakeRecords` has the records,
 * `FlowCache` the flows.
 */
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { EventLog } from '../../observability/event.js';
import {
  LOOKUP_TIMEOUT_MS,
  type FlowAddresses,
  type HandshakeRecord,
  type HandshakeRecords,
  type HandshakeReplicator,
  type OpeningAnswer,
  type OpeningLookup,
} from '../opening-lookup/index.js';
import type { KnownBackend } from '../routing/index.js';
import { shouldShare, showsHandshake } from './contest-rule.js';
import { COOKIE_FLOW_EVENTS } from './events.js';
import type { Flow } from './flow-cache.js';
import { formatFlowId } from './flow-id.js';
import type { Arrival } from './held-openings.js';
import { continuesCachedFlow } from './mid-flow-rule.js';

/** Dependencies of `SharedHandshakes`. */
interface SharedHandshakesOptions {
  readonly events: EventLog;
  readonly records: HandshakeRecords;
  /** Undefined if peers are not asked and told. */
  readonly lookup?: OpeningLookup;
  readonly replicator?: HandshakeReplicator;
  /** Returns the back end with this id; undefined if it is not known. */
  readonly backendOf: (backendId: string) => KnownBackend | undefined;
}

/** A packet of an open flow. */
type OpenFlowPacket = FlowAddresses & Pick<CookiePacket, 'acknowledgement'>;

/** Handshakes that peers know too. Times are monotonic ms. */
export class SharedHandshakes {
  constructor(private readonly options: SharedHandshakesOptions) {}

  /**
   * Returns the back end of a packet whose flow is not cached and whose opening cookie names `cookieBackend`. Returns
   * undefined while peers are asked; the edge then delivers the packet again.
   */
  findBackend(packet: CookiePacket, cookieBackend: KnownBackend, arrival: Arrival): KnownBackend | undefined {
    const { records } = this.options;
    const isRecorded = records.find(packet, packet.acknowledgement, arrival.nowMs) !== undefined;
    if (!isRecorded && packet.ack && this.isLookupPending(packet, arrival)) return undefined;
    return this.applyRecordOf(packet, cookieBackend, arrival.nowMs);
  }

  /** Returns the back end at which a packet's flow opened, as far as it is recorded, otherwise that of its cookie. */
  applyRecordOf(packet: CookiePacket, cookieBackend: KnownBackend, nowMs: number): KnownBackend {
    const recordedBackend = this.recordedBackendOf(packet, nowMs);
    if (recordedBackend) this.logFound(packet, recordedBackend, cookieBackend);
    return recordedBackend ?? cookieBackend;
  }

  /** Returns the back end at which a packet's flow opened, as far as this daemon has a record of it. */
  recordedBackendOf(packet: OpenFlowPacket, nowMs: number): KnownBackend | undefined {
    const record = this.options.records.find(packet, packet.acknowledgement, nowMs);
    return record && this.options.backendOf(record.backendId);
  }

  /** Returns true while a packet of an open flow waits for peers: its caller has received a SYN+ACK. */
  isFindingBackend(addresses: FlowAddresses): boolean {
    return this.options.lookup?.isPending(addresses) ?? false;
  }

  /** Call after a packet other than a SYN of a cached flow. Shares the back end of a contested flow once. */
  shareIfOpen(packet: OpenFlowPacket, flow: Flow, nowMs: number): void {
    if (!shouldShare(flow.contest, flow.phase)) return;
    flow.contest = 'shared';
    this.share(packet, flow.backendState.backend.id, nowMs);
  }

  /** Notes that another back end may have received a SYN of a cached flow. */
  markContested(addresses: FlowAddresses, flow: Flow, nowMs: number): void {
    if (flow.contest !== 'none') return;
    flow.contest = 'contested';
    this.shareIfOpen({ ...addresses, acknowledgement: flow.acknowledgement }, flow, nowMs);
  }

  /** Returns what this daemon knows about the handshake of a packet's flow, for a peer. `flow` is the cached flow. */
  recordOf(packet: OpenFlowPacket, flow: Flow | undefined, nowMs: number): HandshakeRecord | undefined {
    const record = this.options.records.find(packet, packet.acknowledgement, nowMs);
    if (record || !flow || !continuesCachedFlow(packet.acknowledgement, flow)) return record;
    return showsHandshake(flow) ? toRecord(packet, flow.backendState.backend.id) : undefined;
  }

  /** Applies an answer or a record of the peer with this key. */
  applyRecord(answer: OpeningAnswer, peer: string, nowMs: number): void {
    const { backendId, acknowledgement } = answer;
    if (backendId !== undefined && acknowledgement !== undefined)
      this.options.records.add({ ...answer, backendId, acknowledgement }, nowMs);
    this.options.lookup?.applyAnswer(answer, peer);
  }

  /** Forgets an earlier flow with the addresses of a new one. */
  forgetEarlierFlow(addresses: FlowAddresses): void {
    this.options.records.remove(addresses);
  }

  /** Sends all records to peers again, because this daemon stops and others that had them may have been restarted. */
  handOver(nowMs: number): void {
    const { records, replicator, events } = this.options;
    const handedOver = records.all(nowMs);
    for (const record of handedOver) replicator?.replicate(record);
    events.emit(COOKIE_FLOW_EVENTS.handshakesHandedOver, { records: handedOver.length });
  }

  /** Stops lookups and replication. */
  stop(): void {
    this.options.lookup?.stop();
    this.options.replicator?.stop();
  }

  /** Asks peers, however long the packet has waited: its caller only sends it again. */
  private isLookupPending(packet: CookiePacket, { waitedMs }: Arrival): boolean {
    const { lookup, events } = this.options;
    const request = { ...packet, retransmissionCount: 0, waitedMs, remainingHoldMs: LOOKUP_TIMEOUT_MS };
    const outcome = lookup?.lookUp(request);
    if (outcome?.kind === 'not-needed')
      events.emit(COOKIE_FLOW_EVENTS.handshakeNotFound, {
        flow: formatFlowId(packet),
        waitedMs: Math.round(waitedMs),
        asked: 0,
      });
    return outcome?.kind === 'pending';
  }

  private share(packet: OpenFlowPacket, backendId: string, nowMs: number): void {
    const { records, replicator, events } = this.options;
    const record = toRecord(packet, backendId);
    records.add(record, nowMs);
    replicator?.replicate(record);
    events.emit(COOKIE_FLOW_EVENTS.handshakeShared, { flow: formatFlowId(packet), backend: backendId });
  }

  private logFound(packet: CookiePacket, backend: KnownBackend, cookieBackend: KnownBackend): void {
    this.options.events.emit(COOKIE_FLOW_EVENTS.handshakeFound, {
      flow: formatFlowId(packet),
      backend: backend.id,
      cookieBackend: cookieBackend.id,
    });
  }
}

function toRecord(packet: OpenFlowPacket, backendId: string): HandshakeRecord {
  const { sourceAddress, sourcePort, destinationAddress, destinationPort, acknowledgement } = packet;
  return { sourceAddress, sourcePort, destinationAddress, destinationPort, backendId, acknowledgement };
}
