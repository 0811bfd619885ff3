/**
 * Prometheus metrics of one daemon. The other slices keep their own counters; a snapshot of them is copied into the
 * registry at each scrape, so that nothing on the packet path touches a metrics library.
 *
 * Owns the names and meanings of the metrics. Relies on the snapshot of `status-source.ts`.
 */
import type { FlowStatistics } from '../flow/types.js';
import {
  counter as defineCounter,
  gauge as defineGauge,
  MetricsPage,
  type CountsByLabel,
  type MetricDefinition,
} from '../../observability/metrics-page.js';

/** Everything a scrape shows. Counts are totals since start; the rest are current values. */
export interface MetricsSnapshot {
  readonly flow: FlowStatistics;
  /** Refused openings by reason. */
  readonly refusals: CountsByLabel;
  /** Packets dropped at the edge, by reason. */
  readonly edgeDrops: CountsByLabel;
  /** Control bytes by kind. */
  readonly controlBytesSent: CountsByLabel;
  readonly controlBytesReceived: CountsByLabel;
  /** Control messages dropped, by reason. */
  readonly controlDrops: CountsByLabel;
  /** Version of the settings in force; 0 before the first. */
  readonly settingsVersion: number;
  /** Seconds since that version came into force here. */
  readonly settingsInForceSeconds: number;
  /** Seconds from the edit to its effect here; undefined when unknown. */
  readonly settingsDelaySeconds: number | undefined;
  /** True while this balancer reads the settings from the platform for its region. */
  readonly settingsReader: boolean;
  /** Bytes of the flow tables, replicas included. */
  readonly flowTableBytes: number;
  readonly membersByState: CountsByLabel;
  readonly backendsByCondition: CountsByLabel;
  readonly quorate: boolean;
  readonly ready: boolean;
  /** Processor seconds of the process since its start. */
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

const METRICS: readonly MetricDefinition<MetricsSnapshot>[] = [
  gauge('flows_open', 'Flows kept by this balancer', (s) => s.flow.open),
  gauge('flows_replicated', 'Flow records held as a backup', (s) => s.flow.replicated),
  counter('flows_opened_total', 'Openings placed', (s) => s.flow.opened),
  counter('flow_exceptions_total', 'Openings placed off their first choice', (s) => s.flow.exceptions),
  counter('flows_refused_total', 'Openings refused', (s) => s.refusals, 'reason'),
  counter('openings_deferred_total', 'Openings left to be repeated by the caller', (s) => s.flow.deferred),
  counter('packets_relayed_total', 'Packets relayed to another balancer', (s) => s.flow.relayed),
  counter(
    'unknown_flow_packets_total',
    'Mid-flow packets without a known owner, by answer',
    readUnknown,
    'answer',
  ),
  counter('edge_drops_total', 'Packets dropped at the edge', (s) => s.edgeDrops, 'reason'),
  counter('openings_repeated_total', 'Openings repeated on another back end', (s) => s.flow.retried),
  counter(
    'flows_reconstructed_total',
    'Unknown flows found by their first choice',
    (s) => s.flow.reconstructed,
  ),
  counter('packets_unroutable_total', 'Packets dropped without a known holder', (s) => s.flow.unroutable),
  gauge('shards', 'Shards held, by role', readShards, 'role'),
  counter('control_sent_bytes_total', 'Control bytes sent', (s) => s.controlBytesSent, 'kind'),
  counter('control_received_bytes_total', 'Control bytes received', (s) => s.controlBytesReceived, 'kind'),
  counter('control_drops_total', 'Control messages dropped', (s) => s.controlDrops, 'reason'),
  gauge('settings_version', 'Version of the settings in force', (s) => s.settingsVersion),
  gauge(
    'settings_in_force_seconds',
    'Time since that version came into force',
    (s) => s.settingsInForceSeconds,
  ),
  gauge('settings_delay_seconds', 'From the last edit to its effect here', (s) => s.settingsDelaySeconds),
  gauge('settings_reader', '1 while this balancer reads the settings from the platform', (s) =>
    Number(s.settingsReader),
  ),
  gauge('flow_table_bytes', 'Bytes of flow tables, replicas included', (s) => s.flowTableBytes),
  gauge('members', 'Members of the region, by state', (s) => s.membersByState, 'state'),
  gauge('backends', 'Back ends, by condition', (s) => s.backendsByCondition, 'condition'),
  gauge('quorate', '1 while this balancer reaches a quorum of its region', (s) => Number(s.quorate)),
  gauge('ready', '1 while the fabric may send new flows here', (s) => Number(s.ready)),
  counter('process_cpu_seconds_total', 'Processor time of the process', (s) => s.cpuSeconds),
  gauge('process_resident_memory_bytes', 'Resident memory of the process', (s) => s.residentBytes),
];

/** The metrics of one daemon; `collect` is asked for a snapshot at each scrape. */
export class DaemonMetrics extends MetricsPage<MetricsSnapshot> {
  constructor(collect: () => MetricsSnapshot) {
    super(METRICS, collect);
  }
}

type Read = MetricDefinition<MetricsSnapshot>['read'];

function gauge(name: string, help: string, read: Read, label?: string): MetricDefinition<MetricsSnapshot> {
  return defineGauge(name, help, read, label);
}

function counter(name: string, help: string, read: Read, label?: string): MetricDefinition<MetricsSnapshot> {
  return defineCounter(name, help, read, label);
}

function readUnknown({ flow }: MetricsSnapshot): CountsByLabel {
  return { drop: flow.unknownDropped, reset: flow.unknownReset };
}

function readShards({ flow }: MetricsSnapshot): CountsByLabel {
  return { keeper: flow.shardsKept, backup: flow.shardsBackedUp, acquiring: flow.shardsAcquiring };
}
