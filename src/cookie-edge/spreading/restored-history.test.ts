/**
 * Guards against two failures when the source is restored from an older snapshot: route tables that go back, and
 * daemons that miss the current state. Covers any order of changes, restores, reads and gossip.
 */
import test from 'ava';
import fc from 'fast-check';
import { VirtualClock } from '../../common/clock.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import { RoutingKnowledge, type RoutingTopic, type RoutingUpdate } from '../routing/index.js';
import { SimulatedSource } from './simulated-source.js';
import { completeUpdate, UpdateLog } from './update-log.js';

const DAEMONS = 3;
const SEED = 20_261_203;
const TOPICS: readonly RoutingTopic[] = ['routes', 'backends'];
const IDS = ['a', 'b', 'c'];

type Step =
  | { readonly kind: 'routes' }
  | { readonly kind: 'backend'; readonly id: string; readonly isRemoved: boolean }
  | { readonly kind: 'snapshot' }
  | { readonly kind: 'restore' }
  | { readonly kind: 'read'; readonly daemon: number }
  | { readonly kind: 'gossip'; readonly from: number; readonly to: number };

const daemonIndex = fc.nat(DAEMONS - 1);
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  fc.constant<Step>({ kind: 'routes' }),
  fc
    .record({ id: fc.constantFrom(...IDS), isRemoved: fc.boolean() })
    .map((change): Step => ({ kind: 'backend', ...change })),
  fc.constantFrom<Step>({ kind: 'snapshot' }, { kind: 'restore' }),
  daemonIndex.map((daemon): Step => ({ kind: 'read', daemon })),
  fc
    .record({ from: daemonIndex, to: daemonIndex })
    .map((daemonIndexes): Step => ({ kind: 'gossip', ...daemonIndexes })),
);

/** A source that its operator changes, and that is sometimes restored from a snapshot. */
class RestoredSource {
  readonly source: SimulatedSource;
  private version = 2;
  private snapshot: ReturnType<SimulatedSource['takeSnapshot']>;

  constructor(private readonly clock: VirtualClock) {
    this.source = new SimulatedSource(clock);
    this.snapshot = this.source.takeSnapshot();
  }

  applyStep(step: Step): void {
    if (step.kind === 'routes') this.source.changeRoutes({ version: (this.version += 1) });
    if (step.kind === 'snapshot') this.snapshot = this.source.takeSnapshot();
    if (step.kind === 'restore') this.restore();
    if (step.kind !== 'backend') return;
    if (step.isRemoved) this.source.removeBackend(step.id);
    else this.source.changeBackend(step.id);
  }

  /** Restores the snapshot; the operator then writes the newest version again. */
  private restore(): void {
    this.source.restore(this.snapshot);
    this.source.changeRoutes({ version: this.version });
  }

  async read(topic: RoutingTopic): Promise<RoutingUpdate> {
    const response = this.source.asSeenBy('reader').read(topic, 'current', new AbortController().signal);
    await this.clock.advanceAsync(10, 10);
    return (await response).unwrapOrElse((error) => {
      throw error;
    });
  }
}

/** The routes and back ends that a daemon knows, and the log from which it sends changes. */
class GossipingDaemon {
  readonly knowledge: RoutingKnowledge;
  private readonly log = new UpdateLog();

  constructor(clock: VirtualClock) {
    this.knowledge = new RoutingKnowledge({ clock, events: SILENT_EVENT_LOG, retentionMs: 60_000 });
    this.knowledge.subscribe(({ topic, update, since }) =>
      this.log.record({ topic, since: update.complete ? -1 : since, update }),
    );
  }

  async readFrom(source: RestoredSource): Promise<void> {
    for (const topic of TOPICS) this.apply(topic, -1, await source.read(topic));
  }

  /** Sends `other` the changes that it lacks, or the complete topic if the log does not reach back far enough. */
  sendMissingTo(other: GossipingDaemon): void {
    for (const topic of TOPICS) {
      const { epoch, revision } = other.knowledge.confirmationOf(topic);
      const known = { epoch, revision, table: other.knowledge.tableRevision };
      const missing = this.log.changesSince(topic, known) ?? completeUpdate(this.knowledge, topic);
      if (missing) other.apply(topic, missing.since, missing.update);
    }
  }

  private apply(topic: RoutingTopic, since: number, update: RoutingUpdate): void {
    this.knowledge.apply(topic, update, { since, confirmedAtMs: 0, mayHaveLapsed: false });
  }

  get version(): number {
    return this.knowledge.routes()?.table.version ?? 0;
  }

  get presentBackendIds(): string[] {
    const all = [...this.knowledge.backends.all()];
    return all.filter(({ departed, restored }) => !departed || restored).map(({ id }) => id);
  }
}

test('despite restores no route table goes back, and all daemons end with the state of the source', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(anyStep, { minLength: 10, maxLength: 40 }), async (steps) => {
      const clock = new VirtualClock();
      const source = new RestoredSource(clock);
      const daemons = Array.from({ length: DAEMONS }, () => new GossipingDaemon(clock));
      for (const step of steps) {
        const versionsBefore = daemons.map(({ version }) => version);
        if (step.kind === 'read') await daemons[step.daemon]!.readFrom(source);
        else if (step.kind === 'gossip') daemons[step.from]!.sendMissingTo(daemons[step.to]!);
        else source.applyStep(step);
        daemons.forEach(({ version }, index) => t.true(version >= (versionsBefore[index] ?? 0)));
      }
      const [first, ...others] = daemons;
      await first!.readFrom(source);
      for (const other of others) first!.sendMissingTo(other);
      const expected = (await source.read('backends')).backends.map(({ id }) => id).sort();
      const [table] = (await source.read('routes')).routes;
      for (const daemon of daemons) {
        t.deepEqual(daemon.presentBackendIds.sort(), expected);
        t.is(daemon.version, table?.version ?? 0);
        t.is(daemon.knowledge.epochOf('backends'), source.source.epoch);
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});
