/**
 * The life of one balancer: it joins, becomes active, rereads its configuration, hands over and stops.
 *
 * Owns the phase and the configuration in force. Relies on `readiness.ts` for when new flows may come, on
 * `planned-stop.ts` for the hand-over, and on the wired components. The end of every life has one order: guards,
 * control plane, data path, the client of the store, the sockets of data and control, and the admin address last,
 * so that it shows the phase until then.
 */
import { formatEndpoint } from '../../common/types.js';
import type { AdminSource, Readiness } from '../../observability/index.js';
import { DaemonMetrics } from './metrics.js';
import type { Components, DaemonEnvironment } from './components.js';
import { changedFields, type DaemonConfig } from './config.js';
import { ACTIVATION_POLL_INTERVAL_MS } from './constants.js';
import { delay } from '../../common/drain.js';
import { DAEMON_EVENTS } from './events.js';
import { leaveAndHandOver } from './planned-stop.js';
import { reasonsNotReady } from './readiness.js';
import type { DaemonPhase, DaemonStatus, DaemonSummary } from './status.js';
import { describeDaemon, snapshotMetrics, summarizeDaemon } from './status-source.js';
import { wireDaemon } from './wiring.js';

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
const RELOADABLE = /^(limits|drain)\.|^log\.level$/;

const STARTING: Readiness = { ready: false, reasons: ['starting'] };

/** One running balancer. */
export class Daemon {
  private phase: DaemonPhase = 'starting';
  private stopped: Promise<void> | undefined;
  private lastReady: boolean | undefined;
  /** True once the first shards were taken over. */
  private hasServed = false;
  readonly metrics = new DaemonMetrics(() => snapshotMetrics(this.components, this.readiness()));

  private constructor(
    private readonly components: Components,
    /** The configuration in force; read anew by the components after a reread. */
    private readonly current: { config: DaemonConfig },
    private readonly dataPath: AbortController,
  ) {}

  /**
   * Binds the sockets, wires the components and starts joining. Throws a `SailquayError` when a socket or key
   * fails.
   */
  static async start(config: DaemonConfig, environment: DaemonEnvironment): Promise<Daemon> {
    const current = { config };
    const dataPath = new AbortController();
    const started: { daemon?: Daemon } = {};
    const components = await wireDaemon(config, {
      environment,
      adminSource: adminSourceOf(() => started.daemon, environment),
      limits: () => current.config.limits,
      signal: dataPath.signal,
    });
    const daemon = new Daemon(components, current, dataPath);
    started.daemon = daemon;
    environment.events.emit(DAEMON_EVENTS.started, { ...daemon.readyLine() });
    void daemon.follow();
    return daemon;
  }

  readyLine(): ReadyLine {
    const { id, control, data, admin } = this.components.identity;
    return {
      ready: true,
      id,
      control: formatEndpoint(control),
      data: formatEndpoint(data),
      admin: formatEndpoint(admin),
      pid: process.pid,
    };
  }

  status(): DaemonStatus {
    return describeDaemon(this.components, this.phase, this.readiness());
  }

  /** The status without the back ends one by one. */
  summary(): DaemonSummary {
    return summarizeDaemon(this.components, this.phase, this.readiness());
  }

  /** Whether new flows may come here, with every reason why not. */
  readiness(): Readiness {
    const { controlPlane, dataPlane } = this.components;
    const reasons = reasonsNotReady({
      phase: this.phase,
      hasSettings: controlPlane.settings.current() !== undefined,
      isQuorate: controlPlane.membership.view().quorate,
      hasServed: this.hasServed || dataPlane.forwarder.isServing(),
    });
    return { ready: reasons.length === 0, reasons };
  }

  /** Puts a new configuration in force as far as possible and reads the cluster keys again. */
  reload(config: DaemonConfig): void {
    const changed = changedFields(this.current.config, config);
    const { limits, drain } = config;
    this.current.config = { ...this.current.config, limits, drain };
    this.components.control.reloadKeys();
    this.components.events.emit(DAEMON_EVENTS.configReread, {
      changed: changed.join(',') || 'nothing',
      needsRestart: changed.filter((field) => !RELOADABLE.test(field)).join(',') || 'nothing',
    });
  }

  /** Hands every flow over, waits until no packet arrives and stops. Further calls wait for the first. */
  stop(): Promise<void> {
    this.stopped ??= this.drainAndClose();
    return this.stopped;
  }

  /** Stops at once, without a hand-over. */
  abort(): Promise<void> {
    this.stopped ??= this.close();
    return this.stopped;
  }

  /** Becomes active once that is possible, then reports each change of readiness. */
  private async follow(): Promise<void> {
    const { clock, controlPlane, dataPlane, events } = this.components;
    while (this.phase === 'starting' || this.phase === 'active') {
      if (this.phase === 'starting' && controlPlane.mayActivate()) {
        controlPlane.membership.activate();
        this.phase = 'active';
        events.emit(DAEMON_EVENTS.activated, { settingsVersion: controlPlane.settings.status().version });
      }
      this.hasServed ||= dataPlane.forwarder.isServing();
      this.reportReadiness();
      await delay(clock, ACTIVATION_POLL_INTERVAL_MS);
    }
  }

  private reportReadiness(): void {
    const { ready, reasons } = this.readiness();
    if (ready === this.lastReady) return;
    const { events } = this.components;
    if (ready) events.emit(DAEMON_EVENTS.ready);
    else if (this.lastReady) events.emit(DAEMON_EVENTS.notReady, { reasons: reasons.join(', ') });
    this.lastReady = ready;
  }

  private async drainAndClose(): Promise<void> {
    const { events, dataPlane } = this.components;
    const wasActive = this.phase === 'active';
    this.phase = 'draining';
    events.emit(DAEMON_EVENTS.stopping, { openFlows: dataPlane.forwarder.statistics().open });
    try {
      if (wasActive) await leaveAndHandOver(this.components, this.current.config.drain);
    } finally {
      await this.close();
    }
  }

  private async close(): Promise<void> {
    const { guards, controlPlane, control, edge, admin, platform, events } = this.components;
    this.phase = 'draining';
    guards.forEach((guard) => guard.stop());
    await controlPlane.stop();
    this.dataPath.abort();
    await platform?.close();
    await edge.close();
    await control.close();
    await admin.close();
    this.phase = 'stopped';
    events.emit(DAEMON_EVENTS.stopped);
  }
}

/** What the admin address shows; `starting` until the daemon exists. */
function adminSourceOf(daemon: () => Daemon | undefined, { faults }: DaemonEnvironment): AdminSource {
  return {
    readiness: () => daemon()?.readiness() ?? STARTING,
    status: (view) => (view === 'summary' ? daemon()?.summary() : daemon()?.status()) ?? STARTING,
    metrics: async () => {
      const metrics = daemon()?.metrics;
      return { contentType: metrics?.contentType ?? 'text/plain', text: (await metrics?.render()) ?? '' };
    },
    setFaults: faults && ((body) => faults.set(body)),
  };
}
