/** The life of one balancer: binds its sockets, joins, becomes active, rereads, hands over and stops. */
import { delay, waitUntilQuiet } from './drain.js';
import { formatEndpoint } from '../common/types.js';
import { UdpControlChannel } from '../control/index.js';
import { AdminServer, DaemonMetrics, type AdminSource, type Readiness } from '../observability/index.js';
import { createPlatformClient, type ConnectedPlatformClient } from '../platform/index.js';
import type { Components, DaemonEnvironment, DaemonSockets } from './components.js';
import { changedFields, type DaemonConfig } from './config.js';
import { ACTIVATION_POLL_INTERVAL_MS, HANDOVER_TIMEOUT_MS } from './constants.js';
import { createControlPlane, type BalancerIdentity } from './control-plane.js';
import { bindEdge, EdgeGate, KnownSources, startDataPlane } from './data-plane.js';
import { DAEMON_EVENTS } from './events.js';
import { MemoryGuard } from './memory-guard.js';
import type { DaemonPhase, DaemonStatus } from './status.js';
import { describeDaemon, processStatus, snapshotMetrics } from './status-source.js';

/** The line that a daemon prints once its sockets are bound. */
export interface ReadyLine {
  readonly ready: true;
  readonly id: string;
  /** Bound addresses as `host:port`. */
  readonly control: string;
  readonly data: string;
  readonly admin: string;
  readonly pid: number;
}

/** Fields that a reread puts in force at once; the others need a restart. */
const RELOADABLE: ReadonlySet<keyof DaemonConfig> = new Set(['log', 'limits', 'drain', 'clusterKeyFile']);

/** One running balancer. */
export class Daemon {
  private phase: DaemonPhase = 'starting';
  private readonly stopping = new AbortController();
  private stopped: Promise<void> | undefined;
  private lastReady: boolean | undefined;
  /**
   * True once the first shards were taken over. Later takeovers do not end readiness: meanwhile packets are relayed
   * to the previous holder, and all balancers that take over at once would leave the fabric with none.
   */
  private hasServed = false;
  private components!: Components;

  private constructor(
    private config: DaemonConfig,
    private readonly environment: DaemonEnvironment,
  ) {}

  /** Binds the sockets, wires the components and starts joining. Throws a `SailquayError` when a socket or key fails. */
  static async start(config: DaemonConfig, environment: DaemonEnvironment): Promise<Daemon> {
    const daemon = new Daemon(config, environment);
    await daemon.open();
    return daemon;
  }

  readyLine(): ReadyLine {
    const { identity } = this.components;
    return {
      ready: true,
      id: identity.id,
      control: formatEndpoint(identity.control),
      data: formatEndpoint(identity.data),
      admin: formatEndpoint(identity.admin),
      pid: process.pid,
    };
  }

  status(): DaemonStatus {
    return describeDaemon(this.components, this.phase, this.readiness());
  }

  /** Whether new flows may come here, with every reason why not. */
  readiness(): Readiness {
    if (this.phase === 'starting' && !this.components) return { ready: false, reasons: ['starting'] };
    const { controlPlane, dataPlane } = this.components;
    const reasons: string[] = [];
    if (this.phase !== 'active') reasons.push(this.phase);
    if (!controlPlane.settings.current()) reasons.push('no settings');
    if (!controlPlane.membership.view().quorate) reasons.push('no quorum');
    if (!this.hasServed && !dataPlane.forwarder.isServing()) reasons.push('first shards not taken over yet');
    return { ready: reasons.length === 0, reasons };
  }

  /** Puts a new configuration in force as far as possible and reads the cluster keys again. */
  reload(config: DaemonConfig): void {
    const changed = changedFields(this.config, config);
    const needsRestart = changed.filter((field) => !RELOADABLE.has(field));
    const { control, events } = this.components;
    const { limits, log, drain } = config;
    this.config = { ...this.config, limits, log, drain };
    control.reloadKeys();
    events.emit(DAEMON_EVENTS.configReread, {
      changed: changed.join(',') || 'nothing',
      needsRestart: needsRestart.join(',') || 'nothing',
    });
  }

  /** Hands every flow over, waits until no packet arrives and stops. Further calls wait for the first. */
  stop(): Promise<void> {
    this.stopped ??= this.drainAndClose();
    return this.stopped;
  }

  /** Stops at once, without a hand-over. */
  async abort(): Promise<void> {
    this.stopped ??= this.close();
    await this.stopped;
  }

  private async open(): Promise<void> {
    const { config, environment } = this;
    const { clock, random, events } = environment;
    const sources = new KnownSources(config.id);
    const incarnation = clock.wall();
    const sockets = await this.bindSockets(sources, incarnation);
    const { admin, gate } = sockets;
    const control = environment.faults?.wrapControl(sockets.control) ?? sockets.control;
    const edge = environment.faults?.wrapEdge(sockets.edge) ?? sockets.edge;
    const identity: BalancerIdentity = {
      id: config.id,
      region: config.region,
      zone: config.zone,
      control: sockets.control.endpoint,
      data: sockets.edge.endpoint,
      admin: admin.endpoint,
      incarnation,
    };
    const platform = this.connectPlatform();
    const load = { openFlows: (id: number): number => gate.forwarder?.openFlows(id) ?? 0 };
    const controlPlane = createControlPlane({
      identity,
      clock,
      random,
      events,
      control,
      platform,
      seeds: config.seeds,
      load,
    });
    const memory = this.createMemoryGuard();
    const { membership, settings, health } = controlPlane;
    const memoryExceeded = (): boolean => memory.exceeded();
    const dataPlane = startDataPlane(
      {
        config,
        ...{ clock, random, events, control, edge, gate, sources, membership, settings, health },
        memoryExceeded,
      },
      this.stopping.signal,
    );
    this.components = { ...environment, ...sockets, identity, platform, controlPlane, dataPlane, memory };
    memory.start();
    controlPlane.start();
    events.emit(DAEMON_EVENTS.started, { ...this.readyLine() });
    void this.activateWhenPossible();
  }

  private async bindSockets(sources: KnownSources, incarnation: number): Promise<DaemonSockets> {
    const { config } = this;
    const { clock, events } = this.environment;
    const gate = new EdgeGate();
    const admin = await AdminServer.listen(config.admin, this.adminSource());
    const opened = await UdpControlChannel.open({
      bind: config.control,
      memberId: config.id,
      incarnation,
      keyFile: config.clusterKeyFile,
      clock,
      events,
      budgetBytesPerSecond: config.controlBudgetBytesPerSecond,
    });
    if (opened.isErr) {
      await admin.close();
      throw opened.error;
    }
    const control = opened.value;
    try {
      return { admin, control, edge: await bindEdge(config, sources, gate, events, clock), gate };
    } catch (error) {
      await Promise.all([admin.close(), control.close()]);
      throw error;
    }
  }

  private connectPlatform(): ConnectedPlatformClient | undefined {
    const { platform, id } = this.config;
    if (platform === undefined) return undefined;
    const { clock, random, events } = this.environment;
    return createPlatformClient({ baseUrl: platform, clock, random, events, caller: id });
  }

  private createMemoryGuard(): MemoryGuard {
    const { clock, events } = this.environment;
    return new MemoryGuard({
      clock,
      events,
      limitMegabytes: () => this.config.limits.maxMemoryMegabytes,
      residentBytes: () => processStatus().residentBytes,
    });
  }

  private adminSource(): AdminSource {
    const { faults } = this.environment;
    const metrics = new DaemonMetrics(() => snapshotMetrics(this.components, this.readiness()));
    return {
      readiness: () => this.readiness(),
      status: () => this.status(),
      metrics: async () => ({ contentType: metrics.contentType, text: await metrics.render() }),
      setFaults: faults && ((body) => faults.set(body)),
    };
  }

  private async activateWhenPossible(): Promise<void> {
    const { clock, controlPlane, events } = this.components;
    while (this.phase === 'starting') {
      if (controlPlane.mayActivate()) {
        controlPlane.membership.activate();
        this.phase = 'active';
        events.emit(DAEMON_EVENTS.activated, { settingsVersion: controlPlane.settings.status().version });
      } else {
        await delay(clock, ACTIVATION_POLL_INTERVAL_MS);
      }
    }
    while (this.phase === 'active') {
      this.hasServed ||= this.components.dataPlane.forwarder.isServing();
      this.reportReadiness();
      await delay(clock, ACTIVATION_POLL_INTERVAL_MS);
    }
  }

  private reportReadiness(): void {
    const { ready, reasons } = this.readiness();
    if (ready === this.lastReady) return;
    this.lastReady = ready;
    const event = ready ? DAEMON_EVENTS.ready : DAEMON_EVENTS.notReady;
    this.components.events.emit(event, ready ? {} : { reasons: reasons.join(', ') });
  }

  private async drainAndClose(): Promise<void> {
    const { clock, events, gate, controlPlane } = this.components;
    const wasActive = this.phase === 'active';
    this.phase = 'draining';
    events.emit(DAEMON_EVENTS.stopping, { openFlows: this.components.dataPlane.forwarder.statistics().open });
    if (wasActive) {
      controlPlane.membership.leave();
      await this.handOver();
      const { quietMs, maxMs } = this.config.drain;
      const quiet = await waitUntilQuiet({
        clock,
        quietMs,
        maxMs,
        packetsReceived: () => gate.packetsReceived,
      });
      if (!quiet) events.emit(DAEMON_EVENTS.drainTimedOut, { maxMs });
    }
    await this.close();
  }

  private async handOver(): Promise<void> {
    const { clock, events, dataPlane } = this.components;
    const timeout = new AbortController();
    const timer = clock.schedule(HANDOVER_TIMEOUT_MS, () => timeout.abort());
    const report = await dataPlane.forwarder.handOver(timeout.signal);
    timer.cancel();
    const event =
      report.left + report.replicasLeft > 0 ? DAEMON_EVENTS.handoverIncomplete : DAEMON_EVENTS.handedOver;
    events.emit(event, { ...report });
  }

  private async close(): Promise<void> {
    const { memory, controlPlane, control, edge, admin, platform, events } = this.components;
    memory.stop();
    await controlPlane.stop();
    this.stopping.abort();
    await platform?.close();
    await edge.close();
    await control.close();
    await admin.close();
    this.phase = 'stopped';
    events.emit(DAEMON_EVENTS.stopped);
  }
}
