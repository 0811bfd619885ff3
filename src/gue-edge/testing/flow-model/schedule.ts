/** Random schedules for the model check, their run, and the search for a shorter one that still fails. */
import { pick, seededRandom, type RandomSource } from '../../../common/random.js';
import { ModelCluster } from './model-cluster.js';
import type { ModelOptions } from './model-world.js';
import type { ModelNode } from './model-node.js';

/** What happens at one time; `choice` selects its node and details. */
export interface ScheduledAction {
  readonly atMs: number;
  readonly kind: ActionKind;
  readonly choice: number;
}

export type ActionKind =
  | 'open'
  | 'data'
  | 'close'
  | 'settings'
  | 'health'
  | 'suspect'
  | 'pause-short'
  | 'pause-long'
  | 'join'
  | 'leave'
  | 'crash'
  | 'restart'
  | 'partition';

/** Result of one run. */
export interface ModelResult {
  readonly violations: readonly string[];
  readonly trace: readonly string[];
  readonly flows: number;
  readonly established: number;
  readonly delivered: number;
  readonly exceptions: number;
  readonly adopted: number;
  readonly reconstructed: number;
  readonly retried: number;
}

/** Options of a schedule besides those of the cluster. */
export interface ScheduleOptions extends ModelOptions {
  readonly durationMs: number;
  readonly openings: number;
  /** Edits of the settings; changes of health are twice as many. */
  readonly edits: number;
  /** Kinds of rare events with the least time between two of them. */
  readonly rareKinds: readonly ActionKind[];
  readonly rareIntervalMs: number;
}

/** Time until the first shards are started and served. */
const START_MS = 9_000;
/** Time after the last action in which everything must have come to rest. */
const SETTLE_MS = 24_000;
const SHORT_PAUSE_MS = [200, 2_500] as const;
const LONG_PAUSE_MS = [4_000, 11_000] as const;
const PARTITION_MS = [8_000, 12_000] as const;

/** Draws a schedule. */
function drawSchedule(options: ScheduleOptions): ScheduledAction[] {
  const random = seededRandom(options.seed ^ 0x5eed);
  const actions: ScheduledAction[] = [];
  const add = (kind: ActionKind): void => {
    actions.push({ kind, atMs: START_MS + random() * options.durationMs, choice: random() });
  };
  for (let index = 0; index < options.openings; index += 1) add('open');
  for (let index = 0; index < options.openings * 6; index += 1) add('data');
  for (let index = 0; index < options.openings / 5; index += 1) add('close');
  for (let index = 0; index < options.edits; index += 1) add('settings');
  for (let index = 0; index < options.edits * 2; index += 1) add('health');
  for (let atMs = random() * options.rareIntervalMs; atMs < options.durationMs;) {
    actions.push({ kind: pick(options.rareKinds, random), atMs: START_MS + atMs, choice: random() });
    atMs += options.rareIntervalMs * (0.7 + 0.6 * random());
  }
  return actions.sort((left, right) => left.atMs - right.atMs);
}

/** Runs a schedule. */
async function runSchedule(
  options: ScheduleOptions,
  actions: readonly ScheduledAction[],
): Promise<ModelResult> {
  const cluster = new ModelCluster(options);
  for (const action of actions) cluster.later(action.atMs, () => perform(cluster, action));
  await cluster.runAsync(START_MS + options.durationMs + SETTLE_MS);
  await checkDelivery(cluster);
  await checkOpenings(cluster);
  return summarize(cluster);
}

/** Runs the schedule of a seed; on a violation looks for a shorter schedule that still fails. */
export async function checkSeed(options: ScheduleOptions, shrinkRuns = 0): Promise<ModelResult> {
  let actions = drawSchedule(options);
  let result = await runSchedule(options, actions);
  let runs = shrinkRuns;
  for (let size = Math.ceil(actions.length / 2); result.violations.length > 0 && size >= 1 && runs > 0;) {
    let shortened = false;
    for (let start = 0; start < actions.length && runs > 0; start += size) {
      const shorter = [...actions.slice(0, start), ...actions.slice(start + size)];
      const candidate = await runSchedule(options, shorter);
      runs -= 1;
      if (candidate.violations.length === 0) continue;
      actions = shorter;
      result = candidate;
      shortened = true;
    }
    if (!shortened) size = size === 1 ? 0 : Math.ceil(size / 2);
  }
  return result;
}

function between(range: readonly [number, number], share: number): number {
  return range[0] + (range[1] - range[0]) * share;
}

function perform(cluster: ModelCluster, action: ScheduledAction): void {
  if (action.kind === 'settings') return cluster.editSettings();
  if (action.kind === 'join') return void cluster.join();
  if (action.kind === 'restart') return restart(cluster);
  performOnRunning(cluster, action);
}

function performOnRunning(cluster: ModelCluster, action: ScheduledAction): void {
  const choose: RandomSource = () => action.choice;
  const running = cluster.liveNodes().filter((node) => !node.paused);
  const settled = running.filter((node) => node.beliefs.get(node.id)?.state === 'active');
  const node = settled.length > 0 ? pick(settled, choose) : undefined;
  const open = cluster.flows.filter((flow) => flow.established && !flow.ended);
  const mayLose = cluster.liveNodes().length > 2 && settled.length > 2;
  if (action.kind === 'open') cluster.openFlow();
  else if (action.kind === 'data' && open.length > 0) pick(open, choose).sendData();
  else if (action.kind === 'close' && open.length > 0) pick(open, choose).close();
  else if (node) performOn(cluster, node, action, mayLose);
}

function performOn(cluster: ModelCluster, node: ModelNode, action: ScheduledAction, mayLose: boolean): void {
  if (action.kind === 'health') cluster.toggleHealth(node);
  else if (action.kind === 'suspect') cluster.suspect(node);
  else if (action.kind === 'pause-short') cluster.pause(node, between(SHORT_PAUSE_MS, action.choice));
  else if (!mayLose) return;
  else if (action.kind === 'pause-long') cluster.pause(node, between(LONG_PAUSE_MS, action.choice));
  else if (action.kind === 'partition')
    cluster.partition(node.parts.zone, between(PARTITION_MS, action.choice));
  else if (action.kind === 'leave') cluster.leave(node);
  else if (action.kind === 'crash') cluster.crash(node);
}

function restart(cluster: ModelCluster): void {
  const live = new Set(cluster.liveNodes().map((node) => node.id));
  const dead = cluster.nodes.find((node) => !live.has(node.id));
  cluster.join(dead?.id);
}

/** Rule: when everything has come to rest, every open flow still reaches its back end. */
async function checkDelivery(cluster: ModelCluster): Promise<void> {
  const open = cluster.flows.filter((flow) => flow.established && !flow.ended && !flow.exempt);
  const before = open.map((flow) => flow.delivered);
  for (let attempt = 0; attempt < 8; attempt += 1) {
    for (const flow of open) flow.sendData();
    await cluster.runAsync(200);
  }
  const lost = open.filter((flow, index) => flow.delivered === before[index]);
  for (const flow of lost)
    cluster.violate(`flow ${flow.index} does not reach its back end ${flow.acceptedBy}`);
}

/** Rule: when everything has come to rest, every balancer serves its shards and openings succeed. */
async function checkOpenings(cluster: ModelCluster): Promise<void> {
  for (const node of cluster.liveNodes()) {
    if (!node.keeper.isServing()) cluster.violate(`${node.id} does not serve at the end`);
  }
  const flows = Array.from({ length: 12 }, () => cluster.openFlow());
  await cluster.runAsync(6_000);
  for (const flow of flows) {
    if (!flow.established && !flow.ended)
      cluster.violate(`flow ${flow.index} could not be opened at the end`);
  }
}

function summarize(cluster: ModelCluster): ModelResult {
  const totals = cluster.nodes.map((node) => node.keeper.statistics());
  const sum = (field: 'exceptions' | 'adopted' | 'reconstructed' | 'retried'): number =>
    totals.reduce((total, statistics) => total + statistics[field], 0);
  return {
    violations: cluster.violations,
    trace: cluster.trace,
    flows: cluster.flows.length,
    established: cluster.flows.filter((flow) => flow.established).length,
    delivered: cluster.flows.reduce((total, flow) => total + flow.delivered, 0),
    exceptions: sum('exceptions'),
    adopted: sum('adopted'),
    reconstructed: sum('reconstructed'),
    retried: sum('retried'),
  };
}
