import test from 'ava';
import { explainFlow, formatRelatedLine, parseLogLine, type LogLine } from './explain-flow.js';

const FLOW = '100.64.0.7:40001>198.18.0.1:8443';
const START_MS = Date.parse('2026-12-02T10:00:00.000Z');

function line(atMs: number, event: number, member: string, fields: Record<string, unknown> = {}): LogLine {
  return {
    time: new Date(START_MS + atMs).toISOString(),
    event,
    member,
    message: `event ${event}`,
    ...fields,
  };
}

test('a flow is explained by its lines, its back ends and its balancers', (t) => {
  const lines = [
    line(900, 1256, 'one', { backend: 'a' }),
    line(0, 1250, 'one', { flow: FLOW, backend: 'a', route: 'r' }),
    line(100, 1250, 'one', { flow: '100.64.0.8:1>198.18.0.1:8443', backend: 'a' }),
    line(950, 1252, 'one', { flow: FLOW, before: 'a', backend: 'b' }),
    line(1_000, 2103, 'one'),
    line(1_000, 2103, 'three'),
    line(1_500, 1253, 'two', { flow: FLOW, backend: 'b' }),
    line(1_600, 2003, 'two', { backend: 'b' }),
    line(1_600, 2003, 'two', { backend: 'c' }),
    line(90_000, 2105, 'two'),
  ];
  const related = explainFlow(lines, FLOW).map(({ relation, line: { event, member } }) => [
    relation,
    event,
    member,
  ]);
  t.deepEqual(related, [
    ['flow', 1250, 'one'],
    ['backend', 1256, 'one'],
    ['flow', 1252, 'one'],
    ['balancer', 2103, 'one'],
    ['flow', 1253, 'two'],
    ['backend', 2003, 'two'],
  ]);
  t.is(explainFlow(lines, '100.64.0.7:40001').length, related.length, 'the caller alone is enough');
  t.deepEqual(explainFlow(lines, '100.64.0.7:4000'), [], 'a port is not a prefix of another');
});

test('lines are read behind any prefix, and what is no line is passed over', (t) => {
  const text = JSON.stringify(line(0, 1250, 'one', { flow: FLOW, rule: 'least-flows' }));
  t.is(parseLogLine(`  12.3 frontend-1 ${text}`)?.event, 1250);
  for (const other of ['', 'text', '{"event":', '{}', 'null', '{"event":1,"time":2}']) {
    t.is(parseLogLine(other), undefined, other);
  }
  const formatted = formatRelatedLine({ relation: 'flow', line: parseLogLine(text)! });
  t.is(formatted, '2026-12-02T10:00:00.000Z flow     SQ1250 one event 1250. rule=least-flows');
});
