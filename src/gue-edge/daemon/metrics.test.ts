import test from 'ava';
import { DaemonMetrics, type MetricsSnapshot } from './metrics.js';

const SNAPSHOT: MetricsSnapshot = {
  flow: {
    open: 5,
    replicated: 2,
    opened: 9,
    exceptions: 1,
    refused: 3,
    refusals: { 'no-eligible-backend': 3 },
    deferred: 0,
    relayed: 4,
    unknownDropped: 6,
    unknownReset: 0,
    shardsKept: 10,
    shardsBackedUp: 11,
    shardsAcquiring: 12,
    duplicateOpenings: 0,
    retried: 13,
    reconstructed: 14,
    wrongServiceRecords: 0,
    adopted: 0,
    unroutable: 15,
  },
  refusals: { 'no-eligible-backend': 3 },
  edgeDrops: { truncated: 8 },
  controlBytesSent: { membership: 100 },
  controlBytesReceived: { membership: 101 },
  controlDrops: { forged: 2 },
  settingsVersion: 7,
  settingsInForceSeconds: 1.5,
  settingsDelaySeconds: undefined,
  settingsReader: true,
  flowTableBytes: 4096,
  membersByState: { active: 3 },
  backendsByCondition: { healthy: 13 },
  quorate: true,
  ready: false,
  cpuSeconds: 0.5,
  residentBytes: 1024,
};

test('a scrape shows the snapshot, and counters do not add up over scrapes', async (t) => {
  const metrics = new DaemonMetrics(() => SNAPSHOT);
  await metrics.render();
  const lines = (await metrics.render()).split('\n');
  for (const line of [
    'sailquay_flows_open 5',
    'sailquay_flows_refused_total{reason="no-eligible-backend"} 3',
    'sailquay_edge_drops_total{reason="truncated"} 8',
    'sailquay_shards{role="backup"} 11',
    'sailquay_unknown_flow_packets_total{answer="drop"} 6',
    'sailquay_control_received_bytes_total{kind="membership"} 101',
    'sailquay_settings_version 7',
    'sailquay_settings_reader 1',
    'sailquay_flow_table_bytes 4096',
    'sailquay_members{state="active"} 3',
    'sailquay_quorate 1',
    'sailquay_ready 0',
  ]) {
    t.true(lines.includes(line), line);
  }
  t.false(lines.some((line) => line.startsWith('sailquay_settings_delay_seconds ')));
});
