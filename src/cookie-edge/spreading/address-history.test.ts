/**
 * Guards against resets of open flows at a live back end. A new daemon receives the records of the back ends at one
 * address from several sources, in any order, and must not conclude that the live back end has departed.
 */
import test from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import { hashString } from '../../common/hash.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { ForwarderHarness } from '../forwarding/cookie-test-support.js';
import { RoutingKnowledge, type RoutedBackend, type RoutingUpdate } from '../routing/index.js';
import { backendAt, tableAt, updateAt } from '../routing/routing-test-support.js';
import { completeUpdate } from './update-log.js';

const CASES = Number(process.env['ADDRESS_HISTORY_CASES'] ?? 300);
const SEED = 4_901;
const ADDRESS = { endpoint: { host: '10.128.0.1', port: 8_080 } };
const SERVICES = ['alpha', 'beta'].map((name) => ({ name, maxConnections: 2_000 }));
const FIRST_REVISION = 10;
const REQUEST = { payloadBytes: 100, sequence: 500 };

/**
 * Back end `x` stops, and `y` starts at the same address. At any time a record may be removed and written again, even
 * after its back end has stopped.
 */
const STEPS = [
  'remove-x',
  'write-x',
  'start-y',
  'remove-y',
  'write-y',
  'remove-x-lapsed',
  'remove-y-lapsed',
] as const;
type Step = (typeof STEPS)[number];

/** Sources from which a new daemon receives records; `time` lets 3 s pass. */
const INPUTS = ['list', 'peer', 'roster', 'changes', 'time'] as const;
type Input = (typeof INPUTS)[number];

/** Records in the source after each change, and a peer that has applied all of the changes. */
class RecordHistory {
  readonly records = new Map<string, RoutedBackend>();
  readonly changes: RoutingUpdate[] = [];
  readonly lists: RoutedBackend[][] = [];
  readonly peer: RoutingKnowledge;
  liveId = 'x';

  constructor(clock: VirtualClock) {
    this.peer = new RoutingKnowledge({ clock, events: SILENT_EVENT_LOG, retentionMs: 60_000 });
    this.records.set('x', backendAt('x', FIRST_REVISION, ADDRESS));
    this.lists.push([...this.records.values()]);
    const update = updateAt(FIRST_REVISION, { complete: true, backends: this.lists[0] });
    this.peer.apply('backends', update, { since: -1, confirmedAtMs: 0, mayHaveLapsed: false });
  }

  get revision(): number {
    return FIRST_REVISION + this.changes.length;
  }

  applyStep(step: Step): void {
    const [action, id = 'x', lapsed] = step.split('-');
    if (action === 'start') {
      if (this.liveId === 'y') return;
      this.liveId = 'y';
    }
    if (id === 'y' && this.liveId === 'x') return;
    if (action === 'remove') this.removeRecord(id, lapsed !== undefined);
    else this.writeRecord(id);
  }

  private writeRecord(id: string): void {
    const revision = this.revision + 1;
    const known = this.records.get(id);
    const service = id === 'x' ? 'alpha' : 'beta';
    const createdRevision = known?.createdRevision ?? revision;
    const record = backendAt(id, revision, { ...ADDRESS, service, createdRevision });
    this.records.set(id, record);
    this.recordChange(updateAt(revision, { backends: [record] }), false);
  }

  private removeRecord(id: string, lapsed: boolean): void {
    if (!this.records.delete(id)) return;
    const revision = this.revision + 1;
    this.recordChange(updateAt(revision, { removals: [{ id, revision }] }), lapsed);
  }

  private recordChange(update: RoutingUpdate, mayHaveLapsed: boolean): void {
    const since = this.revision;
    this.changes.push(update);
    this.lists.push([...this.records.values()]);
    this.peer.apply('backends', update, { since, confirmedAtMs: 0, mayHaveLapsed });
  }
}

/** Merges changes into one update, as a watch of the source or the update log of a peer does. */
function mergeChanges(changes: readonly RoutingUpdate[], revision: number): RoutingUpdate {
  const latestRecords = new Map(
    changes.flatMap(({ backends }) => backends).map((record) => [record.id, record]),
  );
  const removals = changes.flatMap((change) => change.removals);
  return updateAt(revision, { backends: [...latestRecords.values()], removals });
}

function applyInput(harness: ForwarderHarness, history: RecordHistory, input: Input, listAge: number): void {
  const { knowledge, clock } = harness;
  const apply = (update: RoutingUpdate, since: number): void =>
    void knowledge.apply('backends', update, { since, confirmedAtMs: clock.now(), mayHaveLapsed: false });
  const listIndex = Math.max(0, history.lists.length - 1 - listAge);
  if (input === 'time') clock.advance(3_000);
  if (input === 'list') {
    const update = { complete: true, backends: history.lists[listIndex] };
    apply(updateAt(FIRST_REVISION + listIndex, update), -1);
  }
  if (input === 'peer') {
    const complete = completeUpdate(history.peer, 'backends');
    if (complete) apply(complete.update, -1);
  }
  if (input === 'roster' && knowledge.revisionOf('backends') >= 0) {
    for (const { record, departed } of history.peer.backends.all()) {
      knowledge.backends.putFromRoster(record, departed);
    }
  }
  if (input === 'changes') {
    const knownRevision = knowledge.revisionOf('backends');
    const firstMissing = knownRevision - FIRST_REVISION;
    if (knownRevision >= 0 && firstMissing < history.changes.length) {
      apply(mergeChanges(history.changes.slice(firstMissing), history.revision), knownRevision);
    }
  }
}

/** Returns the first input after which the daemon resets a flow at the live back end; undefined if there is none. */
function firstReset(steps: readonly Step[], inputs: readonly Input[], listAge: number): string | undefined {
  const clock = new VirtualClock();
  const history = new RecordHistory(clock);
  for (const step of steps) history.applyStep(step);
  let hasReceivedDeparted = false;
  const harness = new ForwarderHarness(clock, 1, [], { hasReceivedDeparted: () => hasReceivedDeparted });
  const routes = updateAt(1, { complete: true, routes: [tableAt(1, { services: SERVICES })] });
  harness.knowledge.apply('routes', routes, { since: -1, confirmedAtMs: 0, mayHaveLapsed: false });
  for (const [index, input] of inputs.entries()) {
    applyInput(harness, history, input, listAge);
    hasReceivedDeparted ||= input === 'peer';
    const result = harness.sendMidFlow(41_000 + index, hashString(history.liveId), REQUEST);
    if (result && result.backend === undefined) return input;
    clock.advance(100);
    const laterResult = harness.sendMidFlow(42_000 + index, hashString(history.liveId), REQUEST);
    if (laterResult && laterResult.backend === undefined) return `after ${input}`;
  }
  harness.stop();
  return harness.resets.length > 0 ? 'reset without a packet' : undefined;
}

const anySteps = fc.array(fc.constantFrom(...STEPS), { minLength: 1, maxLength: 8 });
const anyInputs = fc.array(fc.constantFrom(...INPUTS), { minLength: 1, maxLength: 6 });

for (const maxAge of [0, 6]) {
  test(`open flows at a live back end are not reset when lists are up to ${maxAge} changes old`, (t) => {
    const anyListAge = fc.integer({ min: 0, max: maxAge });
    const property = fc.property(
      anySteps,
      anyInputs,
      anyListAge,
      (steps, inputs, listAge) => firstReset(steps, inputs, listAge) === undefined,
    );
    fc.assert(property, { seed: SEED, numRuns: CASES });
    t.pass();
  });
}
