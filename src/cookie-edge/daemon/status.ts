/** What a daemon on a cookie edge shows of itself: status page, metrics and the numbers of its last log line. */
import type { Readiness } from '../../observability/admin-server.js';
import type { MetricDefinition } from '../../observability/metrics-page.js';
import type { RoutingTopic } from '../routing/index.js';
import type { CookieDaemonComponents } from './components.js';

/** In a second. */
const MICROSECONDS = 1_000_000;
const MILLISECONDS = 1_000;

/** Back ends by condition. */
interface BackendCounts extends Readonly<Record<string, number>> {
  readonly ready: number;
  readonly draining: number;
  readonly departed: number;
}

/** The status page. */
export interface CookieDaemonStatus {
  readonly readiness: Readiness;
  readonly routesVersion: number | undefined;
  readonly backends: BackendCounts;
  readonly openFlows: number;
  readonly outstandingRequests: number;
  /** Ids of back ends that get no new flows because they answer unusually late. */
  readonly avoidedBackends: readonly string[];
  readonly cordonedZones: readonly string[];
  readonly knowledgeAgeMs: Readonly<Partial<Record<RoutingTopic, number>>>;
  readonly sourceLost: boolean;
  readonly sourceReader: boolean;
  readonly peers: number;
}

export function describeStatus(components: CookieDaemonComponents, readiness: Readiness): CookieDaemonStatus {
  const { knowledge, forwarder, circuit, spreader } = components;
  return {
    readiness,
    routesVersion: knowledge.routes()?.table.version,
    backends: countBackends(components),
    openFlows: forwarder.flowCount,
    outstandingRequests: forwarder.answers.outstandingCount,
    avoidedBackends: forwarder.outliers.avoidedAt(components.clock.now()),
    cordonedZones: knowledge.cordons.all().map(({ zone }) => zone),
    knowledgeAgeMs: agesOf(components, (ageMs) => Math.round(ageMs)),
    sourceLost: circuit.isLost,
    sourceReader: spreader.isReading,
    peers: spreader.peerCount,
  };
}

/** Totals for the last log line. */
export function summarize({
  forwarder,
  reading,
  spreader,
}: CookieDaemonComponents): Record<string, number | string> {
  const { packets, forwarded, opened, takenOver, placedAnew, resets, drops, refusals } = forwarder.statistics;
  return {
    packets,
    forwarded,
    opened,
    takenOver,
    placedAnew,
    ejections: forwarder.ejections,
    resets,
    probes: forwarder.probes,
    outlierVerdicts: forwarder.outliers.detections,
    answers: JSON.stringify(forwarder.answers.statistics),
    badAnswerReports: JSON.stringify(forwarder.outliers.reportCounts),
    drops: JSON.stringify(drops),
    refusals: JSON.stringify(refusals),
    sourceCalls: reading.calls,
    ...spreader.statistics,
  };
}

/** The page in Prometheus' text format. The library is loaded at the first scrape, not at the start. */
export async function renderMetrics(
  components: CookieDaemonComponents,
  readiness: Readiness,
): Promise<{ readonly contentType: string; readonly text: string }> {
  const { MetricsPage, counter, gauge } = await import('../../observability/metrics-page.js');
  type Parts = CookieDaemonComponents;
  const { handshake } = components.forwarder.statistics;
  const definitions: MetricDefinition<Parts>[] = [
    gauge('ready', '1 while new flows may come here', () => Number(readiness.ready)),
    gauge('flows_remembered', 'Flows remembered by this balancer', (parts) => parts.forwarder.flowCount),
    counter('packets_total', 'Packets from callers', (parts) => parts.forwarder.statistics.packets),
    counter('packets_forwarded_total', 'Packets sent on', (parts) => parts.forwarder.statistics.forwarded),
    counter('flows_opened_total', 'Openings placed', (parts) => parts.forwarder.statistics.opened),
    counter('flows_taken_over_total', 'Flows met in mid-life', (p) => p.forwarder.statistics.takenOver),
    counter(
      'openings_placed_anew_total',
      'SYN copies placed elsewhere',
      (p) => p.forwarder.statistics.placedAnew,
    ),
    counter('flows_refused_total', 'Openings refused', (p) => p.forwarder.statistics.refusals, 'reason'),
    counter('packets_dropped_total', 'Packets dropped', (p) => p.forwarder.statistics.drops, 'reason'),
    counter('flows_reset_total', 'Open flows reset, back end dead', (p) => p.forwarder.statistics.resets),
    counter('backend_probes_total', 'Probes of back ends that may be dead', (p) => p.forwarder.probes),
    gauge(
      'requests_outstanding',
      'Requests without an answer yet',
      (p) => p.forwarder.answers.outstandingCount,
    ),
    counter(
      'requests_total',
      'Requests followed, by outcome',
      (p) => ({ ...p.forwarder.answers.statistics }),
      'outcome',
    ),
    counter(
      'bad_answer_reports_total',
      'Bad answers noted',
      (p) => p.forwarder.outliers.reportCounts,
      'origin',
    ),
    counter(
      'outlier_verdicts_total',
      'Back ends found to be outliers',
      (p) => p.forwarder.outliers.detections,
    ),
    gauge(
      'backends_avoided',
      'Outliers that get no new flows',
      (p) => p.forwarder.outliers.avoidedAt(p.clock.now()).length,
    ),
    counter('backend_ejections_total', 'Back ends ejected', (parts) => parts.forwarder.ejections),
    gauge('backends', 'Back ends, by condition', (parts) => countBackends(parts), 'condition'),
    gauge('routes_version', 'Version of the routes in force', (p) => p.knowledge.routes()?.table.version),
    gauge(
      'knowledge_age_seconds',
      'Time since nothing newer was confirmed',
      (p) => agesOf(p, (ageMs) => ageMs / MILLISECONDS),
      'topic',
    ),
    gauge('cordoned_zones', 'Zones that get no new flows', (p) => p.knowledge.cordons.all().length),
    gauge('source_lost', '1 while the source is out of reach', (parts) => Number(parts.circuit.isLost)),
    counter('source_calls_total', 'Calls to the source', (parts) => parts.reading.calls),
    counter('source_record_problems_total', 'Malformed records', (parts) => parts.problems.count),
    gauge('source_reader', '1 while this daemon reads the source', (p) => Number(p.spreader.isReading)),
    gauge('peers', 'Peers known', (parts) => parts.spreader.peerCount),
    counter('spreading_sent_bytes_total', 'Bytes to peers', (p) => p.spreader.statistics.bytesSent),
    counter('spreading_received_bytes_total', 'Bytes from peers', (p) => p.spreader.statistics.bytesReceived),
    counter('spreading_fetches_total', 'States fetched', (p) => p.spreader.statistics.fetches),
    counter('process_cpu_seconds_total', 'Processor time', () => cpuSeconds()),
    gauge('process_resident_memory_bytes', 'Resident memory', () => process.memoryUsage.rss()),
  ];
  const page = new MetricsPage(definitions, () => components);
  const text = await page.render();
  const histograms = [
    ...handshake.render('sailquay_handshake_seconds', "From a SYN to its caller's next packet"),
    ...components.forwarder.answers.times.render(
      'sailquay_answer_seconds',
      'From a request to the first acknowledgement of its answer',
    ),
  ];
  return { contentType: page.contentType, text: `${text}${histograms.join('\n')}\n` };
}

function countBackends({ knowledge }: CookieDaemonComponents): BackendCounts {
  const counts = { ready: 0, draining: 0, departed: 0 };
  for (const { departed, record } of knowledge.backends.all()) {
    if (departed) counts.departed += 1;
    else if (record.draining) counts.draining += 1;
    else counts.ready += 1;
  }
  return counts;
}

/** Age of each topic that is followed, in the unit that `convert` makes of milliseconds. */
function agesOf(
  { knowledge }: CookieDaemonComponents,
  convert: (ageMs: number) => number,
): Readonly<Partial<Record<RoutingTopic, number>>> {
  return Object.fromEntries(knowledge.topics.map((topic) => [topic, convert(knowledge.ageOf(topic))]));
}

function cpuSeconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS;
}
