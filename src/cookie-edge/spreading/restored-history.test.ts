/** Whatever is restored, read and told in whatever order, no table goes back and all end with what the source has. */
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
  | { readonly kind: 'copy' }
  | { readonly kind: 'restore' }
  | { readonly kind: 'read'; readonly daemon: number }
  | { readonly kind: 'tell'; readonly from: number; readonly to: number };

const daemonIndex = fc.nat(DAEMONS - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.constant<Step>({ kind: 'routes' }),
  fc
    .record({ id: fc.constantFrom(...IDS), isRemoved: fc.boolean() })
    .map((change): Step => ({ kind: 'backend', ...change })),
  fc.constantFrom<Step>({ kind: 'copy' }, { kind: 'restore' }),
  daemonIndex.map((daemon): Step => ({ kind: 'read', daemon })),
  fc.record({ from: daemonIndex, to: daemonIndex }).map((told): Step => ({ kind: 'tell', ...told })),
);

/** A source that its operator writes to, and that is restored from time to time. */
class RestoredSource {
  readonly source: SimulatedSource;
  private version = 2;
  private copy: ReturnType<SimulatedSource['copy']>;

  constructor(private readonly clock: VirtualClock) {
    this.source = new SimulatedSource(clock);
    this.copy = this.source.copy();
  }

  take(taken: Step): void {
    if (taken.kind === 'routes') this.source.changeRoutes({ version: (this.version += 1) });
    if (taken.kind === 'copy') this.copy = this.source.copy();
    if (taken.kind === 'restore') this.restore();
    if (taken.kind !== 'backend') return;
    if (taken.isRemoved) this.source.removeBackend(taken.id);
    else this.source.changeBackend(taken.id);
  }

  /** The operator writes the newest version again. */
  private restore(): void {
    this.source.restore(this.copy);
    this.source.changeRoutes({ version: this.version });
  }

  async read(topic: RoutingTopic): Promise<RoutingUpdate> {
    const answer = this.source.for('reader').read(topic, 'current', new AbortController().signal);
    await this.clock.advanceAsync(10, 10);
    return (await answer).unwrapOrElse((error) => {
      throw error;
    });
  }
}

class TellingDaemon {
  readonly knowledge: RoutingKnowledge;
  private readonly log = new UpdateLog();

  constructor(clock: VirtualClock) {
    this.knowledge = new RoutingKnowledge({ clock, events: SILENT_EVENT_LOG, retentionMs: 60_000 });
    this.knowledge.subscribe(({ topic, update, since }) =>
      this.log.record({ topic, since: update.complete ? -1 : since, update }),
    );
  }

  async read(source: RestoredSource): Promise<void> {
    for (const topic of TOPICS) this.apply(topic, -1, await source.read(topic));
  }

  tell(other: TellingDaemon): void {
    for (const topic of TOPICS) {
      const { epoch, revision } = other.knowledge.confirmationOf(topic);
      const known = { epoch, revision, table: other.knowledge.tableRevision };
      const told = this.log.since(topic, known) ?? completeUpdate(this.knowledge, topic);
      if (told) other.apply(topic, told.since, told.update);
    }
  }

  private apply(topic: RoutingTopic, since: number, update: RoutingUpdate): void {
    this.knowledge.apply(topic, update, { since, confirmedAtMs: 0, mayHaveLapsed: false });
  }

  get version(): number {
    return this.knowledge.routes()?.table.version ?? 0;
  }

  get present(): string[] {
    const all = [...this.knowledge.backends.all()];
    return all.filter(({ departed, restored }) => !departed || restored).map(({ id }) => id);
  }
}

test('through restores no table goes back, and all end with the back ends and the table of the source', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 40 }), async (steps) => {
      const clock = new VirtualClock();
      const source = new RestoredSource(clock);
      const daemons = Array.from({ length: DAEMONS }, () => new TellingDaemon(clock));
      for (const taken of steps) {
        const before = daemons.map(({ version }) => version);
        if (taken.kind === 'read') await daemons[taken.daemon]!.read(source);
        else if (taken.kind === 'tell') daemons[taken.from]!.tell(daemons[taken.to]!);
        else source.take(taken);
        daemons.forEach(({ version }, index) => t.true(version >= (before[index] ?? 0)));
      }
      const [first, ...others] = daemons;
      await first!.read(source);
      for (const other of others) first!.tell(other);
      const expected = (await source.read('backends')).backends.map(({ id }) => id).sort();
      const [table] = (await source.read('routes')).routes;
      for (const daemon of daemons) {
        t.deepEqual(daemon.present.sort(), expected);
        t.is(daemon.version, table?.version ?? 0);
        t.is(daemon.knowledge.epochOf('backends'), source.source.epoch);
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});
