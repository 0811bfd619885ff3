/**
 * Guards against a route table whose content differs from the table of the same revision in the source, for any order
 * of changes and any way of merging them.
 */
import test from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { RoutingKnowledge, type Route, type RouteTable } from '../routing/index.js';
import { tableAt, updateAt } from '../routing/routing-test-support.js';
import { completeUpdate, UpdateLog } from './update-log.js';

const DAEMONS = 3;
const SEED = 20_261_202;

/**
 * One step of a test run: the source changes, a daemon reads the source, or a daemon sends another daemon the changes
 * that a third one lacks. The last is what an unrequested push does.
 */
type Step =
  | { readonly kind: 'change'; readonly routes: readonly Route[] }
  | { readonly kind: 'read'; readonly daemon: number }
  | { readonly kind: 'gossip'; readonly from: number; readonly to: number; readonly lacking: number };

const anyRoute = fc
  .record({ name: fc.constantFrom('a', 'b'), service: fc.constantFrom('alpha', 'beta') })
  .map(({ name, service }): Route => {
    return { name, address: 0xc6120001, port: 443, targets: [{ service, weight: 1 }] };
  });
const daemonIndex = fc.nat(DAEMONS - 1);
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  fc
    .uniqueArray(anyRoute, { selector: ({ name }) => name, maxLength: 2 })
    .map((routes): Step => ({ kind: 'change', routes })),
  daemonIndex.map((daemon): Step => ({ kind: 'read', daemon })),
  fc
    .record({ from: daemonIndex, to: daemonIndex, lacking: daemonIndex })
    .map((daemonIndexes): Step => ({ kind: 'gossip', ...daemonIndexes })),
);

/** The routes that a daemon knows, and the log from which it sends changes. */
class GossipingDaemon {
  readonly log = new UpdateLog();
  readonly knowledge = new RoutingKnowledge({
    clock: new VirtualClock(),
    events: SILENT_EVENT_LOG,
    retentionMs: 60_000,
  });

  constructor() {
    this.knowledge.subscribe(({ topic, update, since }) =>
      this.log.record({ topic, since: update.complete ? -1 : since, update }),
    );
  }

  read(table: RouteTable, sourceRevision: number): void {
    const origin = { since: -1, confirmedAtMs: 0, mayHaveLapsed: false };
    this.knowledge.apply('routes', updateAt(sourceRevision, { complete: true, routes: [table] }), origin);
  }

  /**
   * Sends `receiver` the changes that the daemon in the second parameter lacks, or the complete table if the log does
   * not reach back far enough.
   */
  gossipTo(receiver: GossipingDaemon, { knowledge }: GossipingDaemon): void {
    const known = { revision: knowledge.revisionOf('routes'), table: knowledge.tableRevision };
    const update = this.log.changesSince('routes', known) ?? completeUpdate(this.knowledge, 'routes');
    if (!update) return;
    const origin = { since: update.since, confirmedAtMs: 0, mayHaveLapsed: false };
    receiver.knowledge.apply('routes', update.update, origin);
  }
}

function contentOf(table: RouteTable): unknown {
  return [...table.routes].sort((left, right) => (left.name < right.name ? -1 : 1));
}

test('a route table equals the table of the source with the same revision', (t) => {
  fc.assert(
    fc.property(fc.array(anyStep, { minLength: 20, maxLength: 60 }), (steps) => {
      const daemons = Array.from({ length: DAEMONS }, () => new GossipingDaemon());
      const history = [tableAt(2)];
      let sourceRevision = 2;
      for (const step of steps) {
        const newest = history.at(-1)!;
        sourceRevision += 1;
        if (step.kind === 'change') history.push(tableAt(sourceRevision, { routes: step.routes }));
        else if (step.kind === 'read') daemons[step.daemon]!.read(newest, sourceRevision);
        else daemons[step.from]!.gossipTo(daemons[step.to]!, daemons[step.lacking]!);
        for (const { knowledge } of daemons) {
          const knownTable = knowledge.routes()?.table;
          const sourceTable = history.find(({ revision }) => revision === knownTable?.revision);
          if (knownTable && sourceTable) t.deepEqual(contentOf(knownTable), contentOf(sourceTable));
        }
      }
    }),
    { seed: SEED, numRuns: 400 },
  );
});
