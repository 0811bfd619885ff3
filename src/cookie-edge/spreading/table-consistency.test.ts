/** Whatever the order and joining of changes, the table under a revision is the source's table of that revision. */
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
 * One step of a history: the source changes, a daemon reads it, or a daemon gossips to another what a third one lacks,
 * as an unrequested push does.
 */
type Step =
  | { readonly kind: 'change'; readonly routes: readonly Route[] }
  | { readonly kind: 'read'; readonly daemon: number }
  | { readonly kind: 'tell'; readonly from: number; readonly to: number; readonly lacking: number };

const route = fc
  .record({ name: fc.constantFrom('a', 'b'), service: fc.constantFrom('alpha', 'beta') })
  .map(({ name, service }): Route => {
    return { name, address: 0xc6120001, port: 443, targets: [{ service, weight: 1 }] };
  });
const daemonIndex = fc.nat(DAEMONS - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc
    .uniqueArray(route, { selector: ({ name }) => name, maxLength: 2 })
    .map((routes): Step => ({ kind: 'change', routes })),
  daemonIndex.map((daemon): Step => ({ kind: 'read', daemon })),
  fc
    .record({ from: daemonIndex, to: daemonIndex, lacking: daemonIndex })
    .map((told): Step => ({ kind: 'tell', ...told })),
);

/** What a daemon keeps of routes, with the log from which it tells others. */
class TellingDaemon {
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

  read(table: RouteTable, storeRevision: number): void {
    const origin = { since: -1, confirmedAtMs: 0, mayHaveLapsed: false };
    this.knowledge.apply('routes', updateAt(storeRevision, { complete: true, routes: [table] }), origin);
  }

  /** Tells `other` what `lacking` lacks; everything where the log does not reach back. */
  tell(other: TellingDaemon, { knowledge }: TellingDaemon): void {
    const known = { revision: knowledge.revisionOf('routes'), table: knowledge.tableRevision };
    const update = this.log.since('routes', known) ?? completeUpdate(this.knowledge, 'routes');
    if (!update) return;
    const origin = { since: update.since, confirmedAtMs: 0, mayHaveLapsed: false };
    other.knowledge.apply('routes', update.update, origin);
  }
}

function contentOf(table: RouteTable): unknown {
  return [...table.routes].sort((left, right) => (left.name < right.name ? -1 : 1));
}

test('a table under a revision equals the table of the source at that revision', (t) => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 60 }), (steps) => {
      const daemons = Array.from({ length: DAEMONS }, () => new TellingDaemon());
      const history = [tableAt(2)];
      let storeRevision = 2;
      for (const taken of steps) {
        const newest = history.at(-1)!;
        storeRevision += 1;
        if (taken.kind === 'change') history.push(tableAt(storeRevision, { routes: taken.routes }));
        else if (taken.kind === 'read') daemons[taken.daemon]!.read(newest, storeRevision);
        else daemons[taken.from]!.tell(daemons[taken.to]!, daemons[taken.lacking]!);
        for (const { knowledge } of daemons) {
          const held = knowledge.routes()?.table;
          const meant = history.find(({ revision }) => revision === held?.revision);
          if (held && meant) t.deepEqual(contentOf(held), contentOf(meant));
        }
      }
    }),
    { seed: SEED, numRuns: 400 },
  );
});
