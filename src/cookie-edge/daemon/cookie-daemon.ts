/**
 * Life cycle of a daemon on a cookie edge: it reads routes and back ends, becomes ready, forwards packets and stops.
 * Owns the configuration in force and the admin server. `readiness.ts` and `shutdown.ts` contain the rules.
 */
import { formatEndpoint } from '../../common/types.js';
import { AdminServer, type Readiness } from '../../observability/admin-server.js';
import { wireCookieDaemon, type CookieDaemonComponents, type CookieDaemonEnvironment } from './components.js';
import { compareConfigs, type CookieDaemonConfig } from './config.js';
import { COOKIE_DAEMON_EVENTS } from './events.js';
import { renderMetrics } from './metrics.js';
import { decideReadiness } from './readiness.js';
import { shutDown } from './shutdown.js';
import { describeStatus, summarize } from './status.js';

/**
 * Interval in ms at which a daemon that is not ready checks its readiness again. Routers probe far less often.
 */
const READINESS_INTERVAL_MS = 20;

/** A running daemon. */
export class CookieDaemon {
  private admin!: AdminServer;
  private stopPromise: Promise<void> | undefined;
  private lastReportedReady: boolean | undefined;
  private readonly abortController = new AbortController();

  private constructor(
    private readonly components: CookieDaemonComponents,
    /** Holds the configuration in force, which `reload` replaces. */
    private readonly current: { config: CookieDaemonConfig },
  ) {}

  /** Binds the sockets and starts all components. Throws a `SailquayError` if a socket cannot be bound. */
  static async start(
    config: CookieDaemonConfig,
    environment: CookieDaemonEnvironment,
  ): Promise<CookieDaemon> {
    const current = { config };
    const components = await wireCookieDaemon(() => current.config, environment);
    const daemon = new CookieDaemon(components, current);
    await daemon.startComponents();
    return daemon;
  }

  /** Returns whether routers may send new flows to this daemon, with every reason against it. */
  readiness(): Readiness {
    const { knowledge } = this.components;
    return decideReadiness({
      isStopping: this.stopPromise !== undefined,
      hasRoutes: knowledge.routes() !== undefined,
      missingTopics: knowledge.topics.filter(
        (topic) => topic !== 'routes' && knowledge.revisionOf(topic) < 0,
      ),
    });
  }

  /** Applies the reloadable fields of a new configuration and logs the changed fields that need a restart. */
  reload(config: CookieDaemonConfig): void {
    const { changed, needsRestart } = compareConfigs(this.current.config, config);
    const { limits, drain, log, seeds, seedPort } = config;
    this.current.config = { ...this.current.config, limits, drain, log, seeds, seedPort };
    this.components.events.emit(COOKIE_DAEMON_EVENTS.configReread, {
      changed: changed.join(',') || 'nothing',
      needsRestart: needsRestart.join(',') || 'nothing',
    });
  }

  /** Reports the daemon as not ready, drains and stops. Later calls return the promise of the first call. */
  stop(): Promise<void> {
    this.stopPromise ??= this.drainAndClose();
    return this.stopPromise;
  }

  private async startComponents(): Promise<void> {
    const { components, abortController } = this;
    const { forwarder, gossipNode, roster, edge, events } = components;
    forwarder.start(abortController.signal);
    gossipNode.start(abortController.signal);
    void roster?.reader.run(abortController.signal);
    void roster?.writer.run(abortController.signal);
    this.admin = await AdminServer.listen(this.current.config.admin, {
      readiness: () => this.readiness(),
      status: () => describeStatus(components, this.readiness()),
      metrics: () => renderMetrics(components, this.readiness()),
    });
    events.emit(COOKIE_DAEMON_EVENTS.started, {
      data: formatEndpoint(edge.endpoint),
      admin: formatEndpoint(this.admin.endpoint),
      zone: this.current.config.zone,
      switchedOff: this.current.config.switchedOff.join(',') || undefined,
      pid: process.pid,
      uptimeMs: Math.round(process.uptime() * 1_000),
    });
    this.reportReadiness();
  }

  /** Logs each change of readiness, and checks again later while the daemon is not ready. */
  private reportReadiness(): void {
    const { ready, reasons } = this.readiness();
    if (ready !== this.lastReportedReady) {
      this.lastReportedReady = ready;
      this.components.events.emit(ready ? COOKIE_DAEMON_EVENTS.ready : COOKIE_DAEMON_EVENTS.notReady, {
        reasons: reasons.join(','),
        version: this.components.knowledge.routes()?.table.version,
        uptimeMs: Math.round(process.uptime() * 1_000),
      });
    }
    if (!ready && !this.stopPromise) {
      this.components.clock.schedule(READINESS_INTERVAL_MS, () => this.reportReadiness());
    }
  }

  private async drainAndClose(): Promise<void> {
    const { clock, events, forwarder, gossipNode, reading, edge, transport } = this.components;
    const { drain } = this.current.config;
    const { minMs, maxMs } = drain;
    events.emit(COOKIE_DAEMON_EVENTS.stopping, { flows: forwarder.flowCount, minMs, maxMs });
    forwarder.handOver();
    await shutDown(drain, {
      clock,
      packetsReceived: () => forwarder.statistics.packets,
      onTimeout: () => events.emit(COOKIE_DAEMON_EVENTS.drainTimedOut, { maxMs }),
      leave: () => gossipNode.leave(),
      cancelTimers: () => this.abortController.abort(),
      stopReading: () => reading.stop(),
      close: () => Promise.all([this.admin.close(), edge.close(), transport.close()]),
    });
    events.emit(COOKIE_DAEMON_EVENTS.stopped, summarize(this.components));
  }
}
