/** No open flow at a back end that serves is reset, in whatever order a new balancer learns of those at its address. */
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

/** `x` ends and `y` starts at its address. A record may vanish and be written again at any time, also a late one. */
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

/** What a new balancer learns from. */
const LESSONS = ['list', 'peer', 'roster', 'changes', 'time'] as const;
type Lesson = (typeof LESSONS)[number];

/** The records of the source after each change, and a balancer that has followed all of them. */
class History {
  readonly records = new Map<string, RoutedBackend>();
  readonly changes: RoutingUpdate[] = [];
  readonly lists: RoutedBackend[][] = [];
  readonly peer: RoutingKnowledge;
  live = 'x';

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

  take(step: Step): void {
    const [action, id = 'x', lapsed] = step.split('-');
    if (action === 'start') {
      if (this.live === 'y') return;
      this.live = 'y';
    }
    if (id === 'y' && this.live === 'x') return;
    if (action === 'remove') this.remove(id, lapsed !== undefined);
    else this.write(id);
  }

  private write(id: string): void {
    const revision = this.revision + 1;
    const known = this.records.get(id);
    const service = id === 'x' ? 'alpha' : 'beta';
    const createdRevision = known?.createdRevision ?? revision;
    const record = backendAt(id, revision, { ...ADDRESS, service, createdRevision });
    this.records.set(id, record);
    this.record(updateAt(revision, { backends: [record] }), false);
  }

  private remove(id: string, lapsed: boolean): void {
    if (!this.records.delete(id)) return;
    const revision = this.revision + 1;
    this.record(updateAt(revision, { removals: [{ id, revision }] }), lapsed);
  }

  private record(update: RoutingUpdate, mayHaveLapsed: boolean): void {
    const since = this.revision;
    this.changes.push(update);
    this.lists.push([...this.records.values()]);
    this.peer.apply('backends', update, { since, confirmedAtMs: 0, mayHaveLapsed });
  }
}

/** Joined as a reader's watch or a peer's log joins them. */
function joined(changes: readonly RoutingUpdate[], revision: number): RoutingUpdate {
  const last = new Map(changes.flatMap(({ backends }) => backends).map((record) => [record.id, record]));
  const removals = changes.flatMap((change) => change.removals);
  return updateAt(revision, { backends: [...last.values()], removals });
}

function learn(harness: ForwarderHarness, history: History, lesson: Lesson, age: number): void {
  const { knowledge, clock } = harness;
  const apply = (update: RoutingUpdate, since: number): void =>
    void knowledge.apply('backends', update, { since, confirmedAtMs: clock.now(), mayHaveLapsed: false });
  const listed = Math.max(0, history.lists.length - 1 - age);
  if (lesson === 'time') clock.advance(3_000);
  if (lesson === 'list') {
    const update = { complete: true, backends: history.lists[listed] };
    apply(updateAt(FIRST_REVISION + listed, update), -1);
  }
  if (lesson === 'peer') {
    const whole = completeUpdate(history.peer, 'backends');
    if (whole) apply(whole.update, -1);
  }
  if (lesson === 'roster' && knowledge.revisionOf('backends') >= 0) {
    for (const { record, departed } of history.peer.backends.all()) {
      knowledge.backends.putRemembered(record, departed);
    }
  }
  if (lesson === 'changes') {
    const known = knowledge.revisionOf('backends');
    const first = known - FIRST_REVISION;
    if (known >= 0 && first < history.changes.length) {
      apply(joined(history.changes.slice(first), history.revision), known);
    }
  }
}

/** The first lesson after which a packet of a flow at the live back end is answered with a reset. */
function firstReset(steps: readonly Step[], lessons: readonly Lesson[], age: number): string | undefined {
  const clock = new VirtualClock();
  const history = new History(clock);
  for (const step of steps) history.take(step);
  let hasLearntFromPeers = false;
  const harness = new ForwarderHarness(clock, 1, [], { hasLearntFromPeers: () => hasLearntFromPeers });
  const routes = updateAt(1, { complete: true, routes: [tableAt(1, { services: SERVICES })] });
  harness.knowledge.apply('routes', routes, { since: -1, confirmedAtMs: 0, mayHaveLapsed: false });
  for (const [index, lesson] of lessons.entries()) {
    learn(harness, history, lesson, age);
    hasLearntFromPeers ||= lesson === 'peer';
    const sent = harness.goOn(41_000 + index, hashString(history.live), REQUEST);
    if (sent && sent.backend === undefined) return lesson;
    clock.advance(100);
    const later = harness.goOn(42_000 + index, hashString(history.live), REQUEST);
    if (later && later.backend === undefined) return `after ${lesson}`;
  }
  harness.stop();
  return harness.resets.length > 0 ? 'reset without a packet' : undefined;
}

const steps = fc.array(fc.constantFrom(...STEPS), { minLength: 1, maxLength: 8 });
const lessons = fc.array(fc.constantFrom(...LESSONS), { minLength: 1, maxLength: 6 });

for (const maxAge of [0, 6]) {
  test(`no flow at a back end that serves is reset, lists up to ${maxAge} changes old`, (t) => {
    const age = fc.integer({ min: 0, max: maxAge });
    const property = fc.property(
      steps,
      lessons,
      age,
      (taken, learned, changesOld) => firstReset(taken, learned, changesOld) === undefined,
    );
    fc.assert(property, { seed: SEED, numRuns: CASES });
    t.pass();
  });
}
