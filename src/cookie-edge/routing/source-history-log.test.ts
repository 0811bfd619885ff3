import test from 'ava';
import type { EventDefinition, EventFields } from '../../observability/event.js';
import { SourceHistoryLog } from './source-history-log.js';

test('each kind of break is logged when it begins, and counted each time', (t) => {
  const lines: (readonly [number, EventFields | undefined])[] = [];
  const emit = (event: EventDefinition, fields?: EventFields): void =>
    void lines.push([event.number, fields]);
  const history = new SourceHistoryLog({ emit });
  for (let response = 0; response < 100; response += 1) {
    history.recordHistoryGone('routes', 21);
    history.recordOlderRevision('routes', 21, 17);
  }
  t.deepEqual(lines, [
    [2014, { topic: 'routes', known: 21, count: 1 }],
    [2015, { topic: 'routes', known: 21, received: 17, count: 1 }],
  ]);
  t.deepEqual(history.counts, { historyGone: 100, olderRevision: 100 });
  history.clearLoggedBreaks('routes');
  history.recordHistoryGone('routes', 25);
  t.deepEqual(lines.at(-1), [2014, { topic: 'routes', known: 25, count: 101 }]);
});
