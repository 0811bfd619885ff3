/** Names, types, labels and buckets of the metrics of both daemons, read from their pages. */
import type { CookieDaemonComponents } from '../../src/cookie-edge/daemon/components.js';
import { renderMetrics } from '../../src/cookie-edge/daemon/metrics.js';
import { CookieStatistics } from '../../src/cookie-edge/forwarding/cookie-statistics.js';
import { DaemonMetrics, type MetricsSnapshot } from '../../src/gue-edge/daemon/metrics.js';
import { AnswerTracker } from '../../src/cookie-edge/outliers/answer-tracker.js';

/** Series of one metric without their values. */
interface MetricPage {
  readonly type: string;
  readonly series: string[];
}

/** Takes a page in Prometheus' text format apart; help texts and values are dropped. */
function readPage(text: string): Record<string, MetricPage> {
  const metrics: Record<string, MetricPage> = {};
  let current: MetricPage | undefined;
  for (const line of text.split('\n')) {
    const [, name, type] = /^# TYPE (\S+) (\S+)/.exec(line) ?? [];
    if (name !== undefined && type !== undefined) metrics[name] = current = { type, series: [] };
    else if (line !== '' && !line.startsWith('#')) current?.series.push(line.slice(0, line.lastIndexOf(' ')));
  }
  return metrics;
}

const COUNTS = { reasonOfTheContract: 1 };

/** A snapshot in which every number is 1. */
function snapshot(): MetricsSnapshot {
  const flow = new Proxy({}, { get: () => 1 }) as MetricsSnapshot['flow'];
  return {
    flow,
    refusals: COUNTS,
    edgeDrops: COUNTS,
    controlBytesSent: COUNTS,
    controlBytesReceived: COUNTS,
    controlDrops: COUNTS,
    membersByState: COUNTS,
    backendsByCondition: COUNTS,
    settingsVersion: 1,
    settingsInForceSeconds: 1,
    settingsDelaySeconds: 1,
    settingsReader: true,
    flowTableBytes: 1,
    quorate: true,
    ready: true,
    cpuSeconds: 1,
    residentBytes: 1,
  };
}

/** The parts of a daemon that its page reads. */
function cookieParts(): CookieDaemonComponents {
  const statistics = new CookieStatistics();
  statistics.countDrop('reasonOfTheContract');
  statistics.countRefusal('reasonOfTheContract');
  const answers = new AnswerTracker({ slowFactor: 2, onBadAnswer: () => undefined });
  const outliers = { detections: 1, reportCounts: { own: 1, others: 1 }, avoidedAt: () => [] };
  const parts = {
    clock: { now: () => 0 },
    forwarder: {
      statistics,
      flowCount: 1,
      heldOpeningCount: 1,
      probes: 1,
      ejections: 1,
      outliers,
      answers,
    },
    knowledge: {
      routes: () => ({ table: { version: 1 } }),
      cordons: { all: () => [] },
      backends: { all: () => [], awaitedCount: 1 },
      topics: ['routes', 'backends', 'cordons'],
      ageOf: () => 1,
      revisionOf: () => 1,
    },
    availability: { isLost: false },
    settlement: { isUnsettled: false },
    roster: { reader: { calls: 1 }, writer: { calls: 1, writes: 1 } },
    reading: { calls: 1 },
    problems: { count: 1 },
    history: { counts: { historyGone: 1, olderRevision: 1 } },
    gossipNode: { isReading: true, peerCount: 1, statistics: { bytesSent: 1, bytesReceived: 1, fetches: 1 } },
  };
  return parts as unknown as CookieDaemonComponents;
}

/** Both pages. */
export async function metrics(): Promise<unknown> {
  const cookie = await renderMetrics(cookieParts(), { ready: true, reasons: [] });
  return {
    daemon: readPage(await new DaemonMetrics(snapshot).render()),
    cookieDaemon: readPage(cookie.text),
    contentType: cookie.contentType,
  };
}
