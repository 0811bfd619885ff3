/**
 * The daemons of `OpeningModel`: their messages to each other, the router before them, and their losses. Each daemon
 * may place a flow at one back end only, a different one for each daemon.
 */
import type { VirtualClock } from '../../common/clock.js';
import type { CookiePacket } from '../../fabric/cookie-edge.js';
import type { HandshakeRecord, OpeningPeers, OpeningQuery } from '../opening-lookup/index.js';
import type { RoutedBackend } from '../routing/index.js';
import type { CookieForwarder } from './cookie-forwarder.js';
import { backends, ForwarderHarness } from './cookie-test-support.js';
import { EarlierBuildDaemon } from './earlier-build-test-support.js';
import type { OpeningScenario } from './opening-model-test-support.js';

/** One-way delay between any two of caller, daemons and back ends, in ms. */
export const LINK_MS = 1;
export const CALLER_PORT = 40_001;
const BACKEND_COUNT = 3;
/** Revision of the cordons; above that of the records. */
const CORDON_REVISION = 11;

/** A daemon of either build. */
interface ModelDaemon {
  /** Undefined for a daemon that neither asks nor answers peers. */
  readonly forwarder: CookieForwarder | undefined;
  deliver(packet: Partial<CookiePacket>): unknown;
  stop(): void;
}

/** What daemons send to the caller and to back ends. */
interface DaemonOutput {
  readonly onReset: () => void;
  readonly receiveAtBackend: (backendId: string, packet: Partial<CookiePacket>) => void;
}

/** The part of a scenario that concerns daemons. */
type DaemonScenario = Pick<
  OpeningScenario,
  'routes' | 'kills' | 'restarts' | 'areDaemonsIsolated' | 'earlierBuilds'
>;

/** As many daemons as back ends. */
export class ModelDaemons {
  private readonly daemons: ModelDaemon[];
  /** Daemons that receive no packets and messages. */
  private readonly downDaemons = new Set<number>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly scenario: DaemonScenario,
    private readonly output: DaemonOutput,
  ) {
    this.daemons = Array.from({ length: BACKEND_COUNT }, (_unused, index) => this.startDaemon(index));
  }

  /** Schedules the kills and planned restarts of the scenario. */
  scheduleFaults(): void {
    for (const { atMs, daemon, staysDown } of this.scenario.kills) {
      this.clock.schedule(atMs, () => {
        this.restartDaemon(daemon);
        if (staysDown) this.downDaemons.add(daemon);
      });
    }
    for (const { atMs, daemon } of this.scenario.restarts ?? []) {
      this.clock.schedule(atMs, () => this.stopAndRestartDaemon(daemon));
    }
  }

  /** Returns the daemon that the router picks now, or undefined if that one is down. */
  routedDaemon(): ModelDaemon | undefined {
    const nowMs = this.clock.now();
    const route = this.scenario.routes.findLast(({ fromMs }) => fromMs <= nowMs);
    const index = route?.daemon ?? 0;
    return this.downDaemons.has(index) ? undefined : this.daemons[index];
  }

  stop(): void {
    for (const daemon of this.daemons) daemon.stop();
  }

  private startDaemon(index: number): ModelDaemon {
    return this.scenario.earlierBuilds?.includes(index)
      ? this.startEarlierBuild(index)
      : this.startForwarder(index);
  }

  private startEarlierBuild(index: number): EarlierBuildDaemon {
    const preferredId = idsOfBackends()[index] ?? '';
    return new EarlierBuildDaemon(backends(BACKEND_COUNT), preferredId, (backend, cookie, packet) =>
      this.clock.schedule(LINK_MS, () => this.output.receiveAtBackend(backend, { ...packet, cookie })),
    );
  }

  private startForwarder(index: number): ForwarderHarness {
    const openingPeers: OpeningPeers = {
      hasPeers: () => !this.scenario.areDaemonsIsolated,
      askAboutOpenings: (queries) => this.askPeers(index, queries),
      shareHandshakes: (records) => this.shareWithPeers(index, records),
    };
    const daemon = new ForwarderHarness(this.clock, 1, [], { openingPeers });
    daemon.onSent(CALLER_PORT, (backend, cookie, packet) =>
      this.clock.schedule(LINK_MS, () => {
        if (backend === undefined) this.output.onReset();
        else this.output.receiveAtBackend(backend, { ...packet, cookie });
      }),
    );
    const zones = idsOfBackends().map(zoneOfBackend);
    daemon.applyRecords(backendsInOwnZones());
    daemon.cordon(
      zones.filter((_zone, other) => other !== index),
      CORDON_REVISION,
    );
    return daemon;
  }

  /** Sends queries of a daemon to all others. A daemon that is down never answers. */
  private askPeers(asking: number, queries: readonly OpeningQuery[]): readonly string[] {
    const others = [...this.daemons.keys()].filter((index) => index !== asking);
    for (const peer of others) {
      for (const query of queries) this.clock.schedule(LINK_MS, () => this.answerQuery(peer, asking, query));
    }
    return others.map(String);
  }

  private shareWithPeers(sender: number, records: readonly HandshakeRecord[]): void {
    if (this.scenario.areDaemonsIsolated) return;
    for (const [peer, daemon] of this.daemons.entries()) {
      if (peer === sender || this.downDaemons.has(peer)) continue;
      for (const record of records)
        this.clock.schedule(LINK_MS, () => daemon.forwarder?.applyOpeningAnswer(record, String(sender)));
    }
  }

  private answerQuery(peer: number, asking: number, query: OpeningQuery): void {
    if (this.downDaemons.has(peer)) return;
    const answer = this.daemons[peer]?.forwarder?.answerOpeningQuery(query);
    if (!answer) return;
    this.clock.schedule(LINK_MS, () =>
      this.daemons[asking]?.forwarder?.applyOpeningAnswer(answer, String(peer)),
    );
  }

  /** The daemon forwards until what it hands over is on its way. */
  private stopAndRestartDaemon(index: number): void {
    this.daemons[index]?.forwarder?.handOver();
    this.clock.schedule(LINK_MS, () => this.restartDaemon(index));
  }

  private restartDaemon(index: number): void {
    this.daemons[index]?.stop();
    this.daemons[index] = this.startDaemon(index);
  }
}

export function idsOfBackends(): readonly string[] {
  return backends(BACKEND_COUNT).map(({ id }) => id);
}

function zoneOfBackend(id: string): string {
  return `zone-${id}`;
}

/** Returns records of back ends that are each alone in a zone, so that a daemon can cordon all but one. */
function backendsInOwnZones(): RoutedBackend[] {
  return backends(BACKEND_COUNT).map((record) => ({ ...record, zone: zoneOfBackend(record.id) }));
}
