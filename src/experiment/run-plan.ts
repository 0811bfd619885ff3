/** Turns a scenario's actions into a plan in time order; every random draw comes from the seed. */
import { pick, seededRandom, type RandomSource } from '../common/random.js';
import type { Action, PairFault } from './scenario-actions.js';
import type { Scenario } from './scenario.js';

/** The place names that random draws choose from. */
export interface PlanTargets {
  readonly zones: readonly string[];
  /** Names of the balancers at the start. */
  readonly balancers: readonly string[];
  /** Node names of the back ends that serve at the start, e.g. `pick-01`. */
  readonly backends: readonly string[];
  /** A service node that a tree edit may touch, e.g. `pickguide`. */
  readonly service: string;
}

/** Field that edits without a meaning of their own change: harmless to traffic. */
const PROBE_FIELD = 'idleTimeoutMs';
const PROBE_VALUE_MS = 7_200_000;

type PlainAction = Exclude<Action, { do: 'random-pair' }>;
type RandomPair = Extract<Action, { do: 'random-pair' }>;

/** The actions in time order, with random pairs drawn and random targets named. Equal seeds give equal plans. */
export function planActions(scenario: Scenario, targets: PlanTargets, seed: number): readonly PlainAction[] {
  const random = seededRandom(seed);
  return scenario.actions
    .flatMap((action) => (action.do === 'random-pair' ? drawPair(action, targets, random) : [action]))
    .map((action) => nameTarget(action, targets, random))
    .sort((left, right) => left.at - right.at);
}

function drawPair(pair: RandomPair, targets: PlanTargets, random: RandomSource): PlainAction[] {
  const first = pick(pair.among, random);
  const second = pick(
    pair.among.filter((name) => name !== first),
    random,
  );
  const secondAt = pair.at + random() * pair.withinSeconds;
  const balancers = shuffle(targets.balancers, random);
  const draw = { targets, random, forSeconds: pair.forSeconds };
  return [
    faultAction(first, pair.at, balancers[0]!, draw),
    faultAction(second, secondAt, balancers[1] ?? balancers[0]!, draw),
  ];
}

interface Draw {
  readonly targets: PlanTargets;
  readonly random: RandomSource;
  readonly forSeconds: number;
}

function faultAction(fault: PairFault, at: number, balancer: string, draw: Draw): PlainAction {
  const { targets, random, forSeconds } = draw;
  switch (fault) {
    case 'balancer-crash':
    case 'balancer-leave':
      return { do: fault, at, balancer };
    case 'balancer-pause':
      return { do: fault, at, balancer, forSeconds };
    case 'balancer-join':
      return { do: fault, at, zone: pick(targets.zones, random) };
    case 'backend-drain':
      return { do: fault, at, backend: pick(targets.backends, random) };
    case 'platform-down':
      return { do: 'platform-faults', at, faults: { down: true }, forSeconds };
    case 'zone-partition':
      return { do: fault, at, zone: pick(targets.zones, random), forSeconds };
    case 'tree-edit':
      return { ...editAction(targets.service), at };
  }
}

function editAction(service: string): Omit<Extract<Action, { do: 'tree-edit' }>, 'at'> {
  const operations = [{ node: service, field: PROBE_FIELD, value: PROBE_VALUE_MS }];
  return { do: 'tree-edit', operator: 'operator', operations, repeat: 1, everySeconds: 1 };
}

function nameTarget(action: PlainAction, targets: PlanTargets, random: RandomSource): PlainAction {
  if ('balancer' in action && action.balancer === 'random') {
    return { ...action, balancer: pick(targets.balancers, random) };
  }
  if ('backend' in action && action.backend === 'random') {
    return { ...action, backend: pick(targets.backends, random) };
  }
  return action;
}

function shuffle<T>(items: readonly T[], random: RandomSource): T[] {
  const shuffled = [...items];
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const other = Math.floor(random() * (index + 1));
    [shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
  }
  return shuffled;
}

export type { PlainAction };
