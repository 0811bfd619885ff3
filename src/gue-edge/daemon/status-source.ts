/**
 * Reads the state of a daemon's components into the status document and the metrics snapshot.
 *
 * Owns no state. Relies on the counters and views of the components, which it copies at each request.
 */
import { formatEndpoint } from '../../common/types.js';
import type { BackendHealth } from '../health/types.js';
import type { MemberState } from '../membership/types.js';
import type { CountsByLabel, Readiness } from '../../observability/index.js';
import type { MetricsSnapshot } from './metrics.js';
import type { EffectiveBackend, EffectiveService } from '../../settings/types.js';
import type { Components } from './components.js';
import type {
  BackendStatus,
  DaemonPhase,
  DaemonStatus,
  DaemonSummary,
  MemberStatus,
  ProcessStatus,
} from './status.js';

const MICROSECONDS_PER_SECOND = 1_000_000;
const MS_PER_SECOND = 1_000;
const MEMBER_STATES: readonly MemberState[] = ['joining', 'active', 'suspect', 'leaving', 'gone'];

/** The status document of now. */
export function describeDaemon(
  components: Components,
  phase: DaemonPhase,
  readiness: Readiness,
): DaemonStatus {
  return { ...summarizeDaemon(components, phase, readiness), backends: describeBackends(components) };
}

/** The status document without the back ends one by one. */
export function summarizeDaemon(
  components: Components,
  phase: DaemonPhase,
  readiness: Readiness,
): DaemonSummary {
  const { identity, control, controlPlane, dataPlane, gate } = components;
  return {
    id: identity.id,
    region: identity.region,
    zone: identity.zone,
    phase,
    ready: readiness.ready,
    reasons: readiness.reasons,
    addresses: describeAddresses(components),
    startedAt: identity.incarnation,
    settings: describeSettings(components),
    membership: describeMembership(components),
    flow: dataPlane.forwarder.statistics(),
    keeper: dataPlane.forwarder.describeFlows(),
    placement: dataPlane.policy.statistics(),
    refusals: refusalsOf(components),
    edgeDrops: gate.drops(),
    flowsByBackend: flowsByBackend(components),
    health: controlPlane.health.statistics(),
    control: control.meter(),
    controlDrops: Object.fromEntries(control.drops()),
    process: processStatus(),
  };
}

/** The values of a scrape. */
export function snapshotMetrics(components: Components, readiness: Readiness): MetricsSnapshot {
  const { control, controlPlane, dataPlane, gate, clock } = components;
  const settings = controlPlane.settings.status();
  const { byKind } = control.meter();
  const usage = processStatus();
  return {
    flow: dataPlane.forwarder.statistics(),
    refusals: refusalsOf(components),
    edgeDrops: gate.drops(),
    controlBytesSent: mapValues(byKind, (meter) => meter.bytesOut),
    controlBytesReceived: mapValues(byKind, (meter) => meter.bytesIn),
    controlDrops: Object.fromEntries(control.drops()),
    settingsVersion: settings.version,
    settingsInForceSeconds:
      settings.version > 0 ? Math.max(0, clock.wall() - settings.appliedAtWallMs) / MS_PER_SECOND : 0,
    settingsDelaySeconds:
      settings.timeToInForceMs === undefined ? undefined : settings.timeToInForceMs / MS_PER_SECOND,
    settingsReader: settings.readerLease !== undefined,
    flowTableBytes: dataPlane.forwarder.describeFlows().memoryBytes,
    membersByState: countMembers(components),
    backendsByCondition: countBackends(components),
    quorate: controlPlane.membership.view().quorate,
    ready: readiness.ready,
    cpuSeconds: usage.cpuSeconds,
    residentBytes: usage.residentBytes,
  };
}

function describeAddresses({ identity }: Components): DaemonSummary['addresses'] {
  return {
    control: formatEndpoint(identity.control),
    data: formatEndpoint(identity.data),
    admin: formatEndpoint(identity.admin),
  };
}

function describeSettings({ controlPlane }: Components): DaemonSummary['settings'] {
  const settings = controlPlane.settings.status();
  return { ...settings, inForceSince: settings.version > 0 ? settings.appliedAtWallMs : undefined };
}

function describeMembership(components: Components): DaemonSummary['membership'] {
  const { sequence, digest, quorate } = components.controlPlane.membership.view();
  return { sequence, digest, quorate, members: describeMembers(components) };
}

function describeMembers({ controlPlane }: Components): MemberStatus[] {
  return controlPlane.membership.view().members.map((member) => ({
    id: member.id,
    zone: member.zone,
    state: member.state,
    incarnation: member.incarnation,
    control: formatEndpoint(member.control),
    data: formatEndpoint(member.data),
    admin: formatEndpoint(member.admin),
    settingsVersion: member.settingsVersion,
  }));
}

function flowsByBackend({ controlPlane, dataPlane }: Components): CountsByLabel {
  const services = controlPlane.settings.current()?.services ?? [];
  const counts = services
    .flatMap(({ backends }) => backends)
    .map(({ id }): [string, number] => [String(id), dataPlane.forwarder.openFlows(id)]);
  return Object.fromEntries(counts.filter(([, flows]) => flows > 0));
}

function describeBackends(components: Components): BackendStatus[] {
  const services = components.controlPlane.settings.current()?.services ?? [];
  return services.flatMap((service) =>
    service.backends.map((backend) => describeBackend(components, service, backend)),
  );
}

function describeBackend(
  { controlPlane, dataPlane, clock }: Components,
  service: EffectiveService,
  backend: EffectiveBackend,
): BackendStatus {
  const health = controlPlane.health.health(backend.id);
  return {
    service: service.name,
    name: backend.name,
    id: backend.id,
    endpoint: formatEndpoint(backend.endpoint),
    zone: backend.zone,
    condition: conditionOf(backend, health),
    eligible: health.eligible && !backend.draining,
    warmup: health.warmup,
    weight: backend.weight,
    openFlows: dataPlane.forwarder.openFlows(backend.id),
    reportedLoad: health.reportedLoad,
    evidence: health.evidence.map(({ source, text, atMs }) => ({
      source,
      text,
      ageMs: Math.max(0, Math.round(clock.now() - atMs)),
    })),
  };
}

function conditionOf(backend: EffectiveBackend, health: BackendHealth): BackendHealth['condition'] {
  return backend.draining ? 'draining' : health.condition;
}

function refusalsOf({ dataPlane }: Components): CountsByLabel {
  return dataPlane.forwarder.statistics().refusals;
}

function countMembers({ controlPlane }: Components): CountsByLabel {
  const counts = Object.fromEntries(MEMBER_STATES.map((state) => [state, 0]));
  for (const { state } of controlPlane.membership.view().members) counts[state] = (counts[state] ?? 0) + 1;
  return counts;
}

function countBackends({ controlPlane }: Components): CountsByLabel {
  const counts: Record<string, number> = { healthy: 0, unhealthy: 0, ejected: 0, draining: 0, unknown: 0 };
  const services = controlPlane.settings.current()?.services ?? [];
  for (const backend of services.flatMap(({ backends }) => backends)) {
    const condition = conditionOf(backend, controlPlane.health.health(backend.id));
    counts[condition] = (counts[condition] ?? 0) + 1;
  }
  return counts;
}

/** Processor time and memory of this process. */
export function processStatus(): ProcessStatus {
  const { user, system } = process.cpuUsage();
  return {
    pid: process.pid,
    cpuSeconds: (user + system) / MICROSECONDS_PER_SECOND,
    residentBytes: process.memoryUsage.rss(),
  };
}

function mapValues<T>(record: Readonly<Record<string, T>>, read: (value: T) => number): CountsByLabel {
  return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, read(value)]));
}
