/**
 * A Prometheus page of values that the slices count themselves: a snapshot is copied into the registry at each
 * scrape, so that nothing on the packet path touches a metrics library.
 *
 * Owns the registry of one page. Relies on snapshots that cost little, since each scrape takes one.
 */
import { Counter, Gauge, Registry } from 'prom-client';
import { METRIC_PREFIX } from './constants.js';

/** Counts by the value of one label. */
export type CountsByLabel = Readonly<Record<string, number>>;

/** Name, help and (optional) label of one metric and how its value is read from a snapshot. */
export interface MetricDefinition<Snapshot> {
  readonly name: string;
  readonly help: string;
  readonly type: 'counter' | 'gauge';
  readonly label?: string;
  /** Undefined: the metric is left out. */
  readonly read: (snapshot: Snapshot) => number | CountsByLabel | undefined;
}

/** A definition with its registered instrument. */
interface RegisteredMetric<Snapshot> {
  readonly definition: MetricDefinition<Snapshot>;
  readonly instrument: Gauge | Counter;
}

/** A registry of its own; `collect` is asked for a snapshot at each scrape. */
export class MetricsPage<Snapshot> {
  private readonly registry = new Registry();
  private readonly metrics: readonly RegisteredMetric<Snapshot>[];
  readonly contentType = this.registry.contentType;

  constructor(
    definitions: readonly MetricDefinition<Snapshot>[],
    private readonly collect: () => Snapshot,
  ) {
    this.metrics = definitions.map((definition) => ({ definition, instrument: this.register(definition) }));
  }

  /** The metrics in Prometheus' text format. */
  async render(): Promise<string> {
    const snapshot = this.collect();
    for (const { definition, instrument } of this.metrics) copy(definition, instrument, snapshot);
    return this.registry.metrics();
  }

  private register(definition: MetricDefinition<Snapshot>): Gauge | Counter {
    const options = {
      name: METRIC_PREFIX + definition.name,
      help: definition.help,
      labelNames: definition.label ? [definition.label] : [],
      registers: [this.registry],
    };
    return definition.type === 'gauge' ? new Gauge(options) : new Counter(options);
  }
}

function copy<Snapshot>(
  definition: MetricDefinition<Snapshot>,
  instrument: Gauge | Counter,
  snapshot: Snapshot,
): void {
  instrument.reset();
  const value = definition.read(snapshot);
  if (value === undefined) {
    instrument.remove();
    return;
  }
  if (typeof value === 'number') {
    instrument.inc(value);
    return;
  }
  for (const [label, count] of Object.entries(value)) {
    instrument.inc({ [definition.label ?? 'label']: label }, count);
  }
}

/** A value that may fall. */
export function gauge<Snapshot>(
  name: string,
  help: string,
  read: MetricDefinition<Snapshot>['read'],
  label?: string,
): MetricDefinition<Snapshot> {
  return { name, help, type: 'gauge', read, label };
}

/** A total since start. */
export function counter<Snapshot>(
  name: string,
  help: string,
  read: MetricDefinition<Snapshot>['read'],
  label?: string,
): MetricDefinition<Snapshot> {
  return { name, help, type: 'counter', read, label };
}
