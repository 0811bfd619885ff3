/** Polls the daemons' status pages during a run and keeps what the report needs. */
import type { Endpoint } from '../common/types.js';
import { CONTROL_KINDS, type ControlKind } from '../gue-edge/control/types.js';
import type { DaemonStatus } from '../gue-edge/daemon/status.js';
import { DAEMON_POLL_INTERVAL_MS, MS_PER_SECOND } from './constants.js';
import type { ControlClient } from './http-control.js';

/** A daemon to poll. */
interface MonitoredDaemon {
  readonly name: string;
  readonly admin: Endpoint;
}

/** One version coming into force at one daemon. */
interface VersionInForce {
  readonly version: number;
  /** Wall ms, as the daemon says. */
  readonly sinceMs: number;
}

/** One poll of one daemon. */
export interface UsageSample {
  readonly atMs: number;
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Sent and received since start, by kind. */
  readonly controlBytes: Readonly<Record<ControlKind, number>>;
  readonly controlBytesSent: number;
  readonly opened: number;
  readonly exceptions: number;
}

/** What was seen of one daemon process. */
export interface DaemonHistory {
  readonly name: string;
  readonly versions: VersionInForce[];
  readonly usage: UsageSample[];
  /** Times that the version in force was lower than before. */
  reverts: number;
  /** Wall ms of the last good poll. */
  lastSeenMs: number;
  lastStatus: DaemonStatus | undefined;
}

/** One back end becoming ineligible or eligible at one daemon. */
export interface EligibilityChange {
  readonly daemon: string;
  readonly backend: string;
  readonly eligible: boolean;
  readonly atMs: number;
}

/** Polls until stopped. A daemon process is told from its successor of the same name by its admin address. */
export class FleetMonitor {
  readonly histories = new Map<string, DaemonHistory>();
  readonly eligibility: EligibilityChange[] = [];
  private readonly polling = new Set<string>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly client: ControlClient,
    private readonly daemons: () => readonly MonitoredDaemon[],
  ) {}

  start(): void {
    this.timer = setInterval(() => this.pollAll(), DAEMON_POLL_INTERVAL_MS);
    this.pollAll();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Control bytes a second of each daemon that was seen in the last two polls. */
  controlRates(): number[] {
    return [...this.histories.values()].flatMap((history) => {
      const [before, last] = history.usage.slice(-2);
      if (!before || !last || last.atMs < Date.now() - 4 * DAEMON_POLL_INTERVAL_MS) return [];
      return [((totalBytes(last) - totalBytes(before)) * MS_PER_SECOND) / (last.atMs - before.atMs)];
    });
  }

  private pollAll(): void {
    for (const daemon of this.daemons()) void this.poll(daemon);
  }

  private async poll(daemon: MonitoredDaemon): Promise<void> {
    const key = `${daemon.name}@${daemon.admin.port}`;
    if (this.polling.has(key)) return;
    this.polling.add(key);
    try {
      const status = (await this.client.get(daemon.admin, '/status')) as DaemonStatus;
      this.record(key, daemon.name, status);
    } catch {
      // A daemon that is paused, cut off or gone answers nothing; its history shows the gap.
    } finally {
      this.polling.delete(key);
    }
  }

  private record(key: string, name: string, status: DaemonStatus): void {
    const history = this.histories.get(key) ?? emptyHistory(name);
    this.histories.set(key, history);
    const nowMs = Date.now();
    const { version, inForceSince } = status.settings;
    const last = history.versions.at(-1)?.version ?? 0;
    if (version < last) history.reverts += 1;
    if (version !== last) history.versions.push({ version, sinceMs: inForceSince ?? nowMs });
    history.usage.push(usageOf(status, nowMs));
    this.recordEligibility(history, status, nowMs);
    history.lastSeenMs = nowMs;
    history.lastStatus = status;
  }

  private recordEligibility(history: DaemonHistory, status: DaemonStatus, atMs: number): void {
    for (const backend of status.backends) {
      const before = history.lastStatus?.backends.find((entry) => entry.id === backend.id);
      if ((before?.eligible ?? true) === backend.eligible) continue;
      this.eligibility.push({
        daemon: history.name,
        backend: backend.name,
        eligible: backend.eligible,
        atMs,
      });
    }
  }
}

/** Control bytes of all kinds. */
export function totalBytes(sample: UsageSample): number {
  return CONTROL_KINDS.reduce((sum, kind) => sum + sample.controlBytes[kind], 0);
}

function emptyHistory(name: string): DaemonHistory {
  return { name, versions: [], usage: [], reverts: 0, lastSeenMs: 0, lastStatus: undefined };
}

function usageOf(status: DaemonStatus, atMs: number): UsageSample {
  const bytes = CONTROL_KINDS.map((kind) => {
    const meter = status.control.byKind[kind];
    return [kind, meter.bytesIn + meter.bytesOut];
  });
  return {
    atMs,
    cpuSeconds: status.process.cpuSeconds,
    residentBytes: status.process.residentBytes,
    controlBytes: Object.fromEntries(bytes) as Record<ControlKind, number>,
    controlBytesSent: CONTROL_KINDS.reduce((sum, kind) => sum + status.control.byKind[kind].bytesOut, 0),
    opened: status.flow.opened,
    exceptions: status.flow.exceptions,
  };
}
