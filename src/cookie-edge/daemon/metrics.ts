/**
 * Metrics of a daemon on a cookie edge in Prometheus' text format: a table of definitions, and the page rendered from
 * it. Keeps no counters; reads those of the components. Loads the metrics library at the first scrape, not at the
 * start.
 */
import type { Readiness } from '../../observability/admin-server.js';
import type { MetricDefinition } from '../../observability/metrics-page.js';
import type { CookieDaemonComponents } from './components.js';
import { topicAges, countBackends, topicRevisions } from './status.js';

const MICROSECONDS_PER_SECOND = 1_000_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** The components and the readiness from which the metrics are read. */
interface MetricsSource extends CookieDaemonComponents {
  readonly readiness: Readiness;
}

/** Type, name without prefix, help text, function that reads the value, and the label, if any. */
type MetricRow = readonly [
  type: MetricDefinition<MetricsSource>['type'],
  name: string,
  help: string,
  read: MetricDefinition<MetricsSource>['read'],
  label?: string,
];

const METRICS: readonly MetricRow[] = [
  ['gauge', 'ready', '1 while new flows may come here', ({ readiness }) => Number(readiness.ready)],
  [
    'gauge',
    'flows_remembered',
    'Flows remembered by this balancer',
    (components) => components.forwarder.flowCount,
  ],
  [
    'counter',
    'packets_total',
    'Packets from callers',
    (components) => components.forwarder.statistics.packets,
  ],
  [
    'counter',
    'packets_forwarded_total',
    'Packets sent on',
    (components) => components.forwarder.statistics.forwarded,
  ],
  [
    'counter',
    'flows_opened_total',
    'Openings placed',
    (components) => components.forwarder.statistics.opened,
  ],
  [
    'counter',
    'flows_taken_over_total',
    'Flows met in mid-life',
    (components) => components.forwarder.statistics.takenOver,
  ],
  [
    'counter',
    'openings_placed_anew_total',
    'SYN copies placed elsewhere',
    (components) => components.forwarder.statistics.placedAnew,
  ],
  [
    'counter',
    'opening_lookups_total',
    'Retransmitted SYNs about which peers were asked',
    (components) => components.forwarder.statistics.lookups,
    'outcome',
  ],
  [
    'counter',
    'flows_refused_total',
    'Openings refused',
    (components) => components.forwarder.statistics.refusals,
    'reason',
  ],
  [
    'gauge',
    'backends_settled',
    '1 while the list of back ends is believed, 0 while live ones may be missing from it',
    ({ settlement }) => Number(!settlement.isUnsettled),
  ],
  [
    'gauge',
    'backends_awaited',
    'Back ends of the roster that are not listed yet',
    ({ knowledge }) => knowledge.backends.awaitedCount,
  ],
  ['gauge', 'openings_held', 'Openings that wait', (components) => components.forwarder.heldOpeningCount],
  [
    'counter',
    'openings_held_total',
    'Openings held so far',
    (components) => components.forwarder.statistics.held,
    'reason',
  ],
  [
    'counter',
    'openings_held_too_long_total',
    'Held openings given up, as their caller sends the next copy',
    (components) => components.forwarder.statistics.heldTooLong,
  ],
  [
    'counter',
    'roster_writes_total',
    'Pages of the roster written',
    ({ roster }) => roster?.writer.writes ?? 0,
  ],
  [
    'counter',
    'roster_calls_total',
    'Calls to the store about the roster',
    ({ roster }) => (roster ? roster.reader.calls + roster.writer.calls : 0),
  ],
  [
    'counter',
    'packets_dropped_total',
    'Packets dropped',
    (components) => components.forwarder.statistics.drops,
    'reason',
  ],
  [
    'counter',
    'flows_reset_total',
    'Open flows reset, back end dead',
    (components) => components.forwarder.statistics.resets,
  ],
  [
    'counter',
    'backend_probes_total',
    'Probes of back ends that may be dead',
    (components) => components.forwarder.probes,
  ],
  [
    'gauge',
    'requests_outstanding',
    'Requests without an answer yet',
    (components) => components.forwarder.answers.outstandingCount,
  ],
  [
    'counter',
    'requests_total',
    'Requests followed, by outcome',
    (components) => ({ ...components.forwarder.answers.statistics }),
    'outcome',
  ],
  [
    'counter',
    'bad_answer_reports_total',
    'Bad answers noted',
    (components) => components.forwarder.outliers.reportCounts,
    'origin',
  ],
  [
    'counter',
    'outlier_verdicts_total',
    'Back ends found to be outliers',
    (components) => components.forwarder.outliers.detections,
  ],
  [
    'gauge',
    'backends_avoided',
    'Outliers that get no new flows',
    (components) => components.forwarder.outliers.avoidedAt(components.clock.now()).length,
  ],
  ['counter', 'backend_ejections_total', 'Back ends ejected', (components) => components.forwarder.ejections],
  ['gauge', 'backends', 'Back ends, by condition', (components) => countBackends(components), 'condition'],
  [
    'gauge',
    'routes_version',
    'Version of the routes in force',
    (components) => components.knowledge.routes()?.table.version,
  ],
  [
    'gauge',
    'knowledge_age_seconds',
    'Time since nothing newer was confirmed',
    (components) => topicAges(components, (ageMs) => ageMs / MILLISECONDS_PER_SECOND),
    'topic',
  ],
  [
    'gauge',
    'knowledge_revision',
    'Revision of the source up to which a topic is known',
    (components) => topicRevisions(components),
    'topic',
  ],
  [
    'counter',
    'source_history_breaks_total',
    'Responses of the source that do not continue what is known',
    (components) => components.history.counts,
    'kind',
  ],
  [
    'gauge',
    'cordoned_zones',
    'Zones that get no new flows',
    (components) => components.knowledge.cordons.all().length,
  ],
  [
    'gauge',
    'source_lost',
    '1 while the source is out of reach',
    (components) => Number(components.availability.isLost),
  ],
  ['counter', 'source_calls_total', 'Calls to the source', (components) => components.reading.calls],
  ['counter', 'source_record_problems_total', 'Malformed records', (components) => components.problems.count],
  [
    'gauge',
    'source_reader',
    '1 while this daemon reads the source',
    (components) => Number(components.gossipNode.isReading),
  ],
  ['gauge', 'peers', 'Peers known', (components) => components.gossipNode.peerCount],
  [
    'counter',
    'spreading_sent_bytes_total',
    'Bytes to peers',
    (components) => components.gossipNode.statistics.bytesSent,
  ],
  [
    'counter',
    'spreading_received_bytes_total',
    'Bytes from peers',
    (components) => components.gossipNode.statistics.bytesReceived,
  ],
  [
    'counter',
    'spreading_fetches_total',
    'States fetched',
    (components) => components.gossipNode.statistics.fetches,
  ],
  ['counter', 'process_cpu_seconds_total', 'Processor time', () => cpuSeconds()],
  ['gauge', 'process_resident_memory_bytes', 'Resident memory', () => process.memoryUsage.rss()],
];

/** Renders the metrics page. */
export async function renderMetrics(
  components: CookieDaemonComponents,
  readiness: Readiness,
): Promise<{ readonly contentType: string; readonly text: string }> {
  const { MetricsPage } = await import('../../observability/metrics-page.js');
  const definitions = METRICS.map(([type, name, help, read, label]) => ({ type, name, help, read, label }));
  const page = new MetricsPage(definitions, () => ({ ...components, readiness }));
  const text = await page.render();
  const histograms = renderHistograms(components);
  return { contentType: page.contentType, text: `${text}${histograms.join('\n')}\n` };
}

/** Renders the histograms, which do not use the metrics library. */
function renderHistograms({ forwarder }: CookieDaemonComponents): readonly string[] {
  return [
    ...forwarder.statistics.handshake.render(
      'sailquay_handshake_seconds',
      "From a SYN to its caller's next packet",
    ),
    ...forwarder.answers.answerTimes.render(
      'sailquay_answer_seconds',
      'From a request to the first acknowledgement of its answer',
    ),
  ];
}

function cpuSeconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_SECOND;
}
