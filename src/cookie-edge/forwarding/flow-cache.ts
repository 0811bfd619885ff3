/**
 * Remembers the flows that this balancer has met. Packets carry cookies, so that forwarding works without it. It
 * distinguishes retransmissions of a SYN from new flows, counts open flows, and keeps what later packets of a flow are
 * compared with. Owns the flows, and with them the number of open flows at each back end.
 */
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { LocalBackendState } from '../backend-health/index.js';
import type { OutstandingRequest } from '../outliers/index.js';
import { addressKey } from '../routing/index.js';

/** `opening`: only SYNs came. `open`: the caller continued. `closing`: the caller closed or reset the flow. */
export type FlowPhase = 'opening' | 'open' | 'closing';

/** One flow from a caller to a service address. */
export interface Flow {
  readonly callerKey: number;
  readonly serviceKey: number;
  /** Retransmission count of the first SYN that was seen; 0 for a flow that was taken over. */
  readonly retransmissionCount: number;
  state: LocalBackendState;
  phase: FlowPhase;
  /** Monotonic ms at which its SYN was sent to its present back end. */
  openedAtMs: number;
  /** Monotonic ms of the caller's last packet. */
  lastPacketMs: number;
  /** Highest data sequence number seen; -1 before the first data. */
  highestDataSequence: number;
  /** Monotonic ms at which data with that sequence number came first. */
  dataFirstSeenAtMs: number;
  /** The caller's last acknowledgement number; 0 while it is opening. */
  acknowledgement: number;
  /** True when the opening, or the newest data, has counted as a failure of the back end already. */
  isFailureCounted: boolean;
  /** True from the SYN until the caller continues or the opening counts as failed; set by `PendingOpenings`. */
  awaitsAnswer: boolean;
  /** The request that its caller has sent, until answer data is acknowledged. */
  request: OutstandingRequest | undefined;
}

/** Holds up to `maxFlows` flows by service address and caller. */
export class FlowCache {
  private readonly services = new Map<number, Map<number, Flow>>();
  private flowCount = 0;
  private sweepPosition: Iterator<Flow> | undefined;

  constructor(private readonly maxFlows: () => number) {}

  /** Flows remembered now, closed ones included. */
  get size(): number {
    return this.flowCount;
  }

  /** The flow with a packet's addresses. */
  find(packet: CookiePacket): Flow | undefined {
    const flows = this.services.get(addressKey(packet.destinationAddress, packet.destinationPort));
    return flows?.get(addressKey(packet.sourceAddress, packet.sourcePort));
  }

  /** Adds the flow of `packet`; undefined when the cache is full. */
  add(packet: CookiePacket, state: LocalBackendState, phase: FlowPhase, nowMs: number): Flow | undefined {
    if (this.flowCount >= this.maxFlows()) return undefined;
    const serviceKey = addressKey(packet.destinationAddress, packet.destinationPort);
    const callerKey = addressKey(packet.sourceAddress, packet.sourcePort);
    const flow: Flow = {
      callerKey,
      serviceKey,
      retransmissionCount: packet.retransmissionCount,
      state,
      phase,
      openedAtMs: nowMs,
      lastPacketMs: nowMs,
      highestDataSequence: -1,
      dataFirstSeenAtMs: 0,
      acknowledgement: packet.acknowledgement,
      isFailureCounted: false,
      awaitsAnswer: false,
      request: undefined,
    };
    this.flowsOfService(serviceKey).set(callerKey, flow);
    this.flowCount += 1;
    state.openFlows += 1;
    return flow;
  }

  /** Moves a flow to another back end, whose open flows it counts among from now on. */
  moveToBackend(flow: Flow, state: LocalBackendState): void {
    if (flow.state === state) return;
    if (flow.phase !== 'closing') {
      flow.state.openFlows -= 1;
      state.openFlows += 1;
    }
    flow.state = state;
  }

  /** Records that the caller closed the flow: it no longer counts as open, but is found until it expires. */
  markClosed(flow: Flow, nowMs: number): void {
    if (flow.phase === 'closing') return;
    flow.phase = 'closing';
    flow.state.recordClosed(nowMs);
  }

  /** The open flows at a back end. */
  flowsAt(state: LocalBackendState): Flow[] {
    if (state.openFlows === 0) return [];
    return [...this.allFlows()].filter((flow) => flow.state === state && flow.phase !== 'closing');
  }

  /**
   * Forgets every flow at a back end that is forgotten itself. Nothing is reset: the flow's next packet goes where its
   * cookie says, to the process that has the id now, which resets the flow unless it holds it.
   */
  removeFlowsAt(state: LocalBackendState): void {
    for (const flow of this.allFlows()) if (flow.state === state) this.remove(flow);
  }

  /** Forgets a flow. */
  remove(flow: Flow): void {
    if (flow.phase !== 'closing') flow.state.openFlows -= 1;
    flow.phase = 'closing';
    const flows = this.services.get(flow.serviceKey);
    if (!flows?.delete(flow.callerKey)) return;
    this.flowCount -= 1;
    if (flows.size === 0) this.services.delete(flow.serviceKey);
  }

  /** Tests up to `limit` flows, continuing where the last call ended, and removes those that `isExpired`. */
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
