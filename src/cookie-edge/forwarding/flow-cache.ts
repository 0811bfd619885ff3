/**
 * Caches the flows that this daemon has seen, and owns the number of open flows at each back end. Packets carry
 * cookies, so forwarding also works without the cache. The cache distinguishes SYN retransmissions from new flows, and
 * keeps the values that later packets of a flow are compared with.
 */
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { LocalBackendState } from '../backend-health/index.js';
import type { OutstandingRequest } from '../outliers/index.js';
import type { FlowAddresses } from '../opening-lookup/index.js';
import { addressKey } from '../routing/index.js';
import { contestOfNewFlow, type FlowContest } from './contest-rule.js';
import type { HandshakeEvidence } from './handshake-evidence.js';
import { isSequenceAfter } from './sequence-number.js';

/**
 * `opening`: only SYNs have arrived. `open`: the caller has continued. `closing`: the caller has closed or reset the
 * flow.
 */
export type FlowPhase = 'opening' | 'open' | 'closing';

/** One flow from a caller to a service address. */
export interface Flow {
  readonly callerKey: number;
  readonly serviceKey: number;
  /** Retransmission count of the first SYN that this daemon saw; 0 for an adopted flow. */
  readonly retransmissionCount: number;
  backendState: LocalBackendState;
  phase: FlowPhase;
  /** What this daemon has seen of the handshake with the current back end. */
  handshake: HandshakeEvidence;
  contest: FlowContest;
  /** True once a packet has come with the cookie that the back end receives in packets other than SYNs. */
  hasEstablishedCookie: boolean;
  /** Acknowledgement number of the first packet after the SYNs; 0 while the flow is opening. */
  handshakeAcknowledgement: number;
  /** Monotonic ms at which the SYN was sent to the current back end. */
  openedAtMs: number;
  /** Monotonic ms of the caller's last packet. */
  lastPacketAtMs: number;
  /** Highest data sequence number seen; -1 before the first data. */
  highestDataSequence: number;
  /** Monotonic ms at which data with `highestDataSequence` first arrived. */
  dataFirstSeenAtMs: number;
  /** The caller's last acknowledgement number; 0 while the flow is opening. */
  acknowledgement: number;
  /** True once the opening, or the newest data, has been counted as a failure of the back end. */
  isFailureCounted: boolean;
  /** True from the SYN until the caller continues or the opening counts as failed. Set by `PendingOpenings`. */
  isAwaitingAnswer: boolean;
  /** The outstanding request, from its first data until the caller acknowledges answer data. */
  request: OutstandingRequest | undefined;
}

/** Returns true if data with this sequence number comes after all data of the flow that this daemon has seen. */
export function isNewData(sequence: number, { highestDataSequence }: Flow): boolean {
  return highestDataSequence < 0 || isSequenceAfter(sequence, highestDataSequence);
}

/** Holds up to `maxFlows` flows, indexed by service address and caller. */
export class FlowCache {
  private readonly services = new Map<number, Map<number, Flow>>();
  private flowCount = 0;
  private sweepPosition: Iterator<Flow> | undefined;

  constructor(private readonly maxFlows: () => number) {}

  /** Number of cached flows, including closed ones. */
  get size(): number {
    return this.flowCount;
  }

  /** Returns the flow with these addresses. */
  find(packet: FlowAddresses): Flow | undefined {
    const flows = this.services.get(addressKey(packet.destinationAddress, packet.destinationPort));
    return flows?.get(addressKey(packet.sourceAddress, packet.sourcePort));
  }

  /** Adds the flow of `packet`. Returns undefined if the cache is full. */
  add(packet: CookiePacket, state: LocalBackendState, phase: FlowPhase, nowMs: number): Flow | undefined {
    if (this.flowCount >= this.maxFlows()) return undefined;
    const serviceKey = addressKey(packet.destinationAddress, packet.destinationPort);
    const callerKey = addressKey(packet.sourceAddress, packet.sourcePort);
    const flow: Flow = {
      callerKey,
      serviceKey,
      retransmissionCount: packet.retransmissionCount,
      backendState: state,
      phase,
      handshake: 'unseen',
      contest: contestOfNewFlow(packet.retransmissionCount),
      hasEstablishedCookie: false,
      handshakeAcknowledgement: packet.acknowledgement,
      openedAtMs: nowMs,
      lastPacketAtMs: nowMs,
      highestDataSequence: -1,
      dataFirstSeenAtMs: 0,
      acknowledgement: packet.acknowledgement,
      isFailureCounted: false,
      isAwaitingAnswer: false,
      request: undefined,
    };
    this.flowsOfService(serviceKey).set(callerKey, flow);
    this.flowCount += 1;
    state.openFlows += 1;
    return flow;
  }

  /** Moves a flow to another back end and updates the open-flow counts of both. */
  moveToBackend(flow: Flow, state: LocalBackendState): void {
    if (flow.backendState === state) return;
    if (flow.phase !== 'closing') {
      flow.backendState.openFlows -= 1;
      state.openFlows += 1;
    }
    flow.backendState = state;
  }

  /** Marks a flow as closed by its caller. It no longer counts as open, but `find` returns it until it expires. */
  markClosed(flow: Flow, nowMs: number): void {
    if (flow.phase === 'closing') return;
    flow.phase = 'closing';
    flow.backendState.recordClosed(nowMs);
  }

  /** Returns the open flows at a back end. */
  openFlowsAt(state: LocalBackendState): Flow[] {
    if (state.openFlows === 0) return [];
    return [...this.allFlows()].filter((flow) => flow.backendState === state && flow.phase !== 'closing');
  }

  /**
   * Removes all flows of a back end that is being removed, without resetting them. Their next packets follow their
   * cookies to the process that has the id now, which resets a flow that it does not know.
   */
  removeFlowsAt(state: LocalBackendState): void {
    for (const flow of this.allFlows()) if (flow.backendState === state) this.remove(flow);
  }

  /** Removes a flow. */
  remove(flow: Flow): void {
    if (flow.phase !== 'closing') flow.backendState.openFlows -= 1;
    flow.phase = 'closing';
    const flows = this.services.get(flow.serviceKey);
    if (!flows?.delete(flow.callerKey)) return;
    this.flowCount -= 1;
    if (flows.size === 0) this.services.delete(flow.serviceKey);
  }

  /**
   * Tests up to `limit` flows, starting where the last call stopped, and removes those for which `isExpired` returns
   * true.
   */
  removeExpired(limit: number, isExpired: (flow: Flow) => boolean): void {
    this.sweepPosition ??= this.allFlows();
    for (let tested = 0; tested < limit; tested += 1) {
      const next = this.sweepPosition.next();
      if (next.done) {
        this.sweepPosition = undefined;
        return;
      }
      if (isExpired(next.value)) this.remove(next.value);
    }
  }

  private *allFlows(): Generator<Flow> {
    for (const flows of this.services.values()) yield* flows.values();
  }

  private flowsOfService(serviceKey: number): Map<number, Flow> {
    let flows = this.services.get(serviceKey);
    if (!flows) {
      flows = new Map();
      this.services.set(serviceKey, flows);
    }
    return flows;
  }
}
