/** Deals the new flows of a route to its services by weight, so that short runs keep to the weights as well. */
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { RandomSource } from '../../common/random.js';
import type { Route, RouteTarget } from '../routing/index.js';

/** What one target is still owed, in flows. */
interface TargetCredit {
  readonly service: string;
  readonly share: number;
  credit: number;
}

/** Smooth weighted round robin for each route; a route whose targets change starts anew. */
export class TrafficSplitter {
  private readonly credits = new Map<string, TargetCredit[]>();

  constructor(
    private readonly random: RandomSource,
    private readonly isOn: MechanismCheck = ALL_MECHANISMS_ON,
  ) {}

  /** Service of the next flow of `route`. Services for which `isOpen` is false are passed over unless all are. */
  choose(route: Route, isOpen: (service: string) => boolean): string | undefined {
    const [only, ...others] = route.targets;
    if (others.length === 0) return only?.service;
    const credits = this.creditsOf(route);
    for (const target of credits) target.credit += target.share;
    const open = credits.filter((target) => isOpen(target.service));
    const eligible = open.length > 0 ? open : credits;
    const chosen = this.isOn('split-credit') ? highest(eligible) : byChance(eligible, this.random);
    if (chosen) chosen.credit -= 1;
    return chosen?.service;
  }

  /** Forgets routes that are not in `names`. */
  retain(names: ReadonlySet<string>): void {
    for (const name of this.credits.keys()) if (!names.has(name)) this.credits.delete(name);
  }

  private creditsOf(route: Route): TargetCredit[] {
    const known = this.credits.get(route.name);
    if (known && sameShares(known, route.targets)) return known;
    const total = sum(route.targets);
    const credits = route.targets.map(({ service, weight }) => ({
      service,
      share: weight / total,
      credit: this.random() - 1 / 2,
    }));
    this.credits.set(route.name, credits);
    return credits;
  }
}

function sum(targets: readonly RouteTarget[]): number {
  return targets.reduce((total, { weight }) => total + weight, 0);
}

function sameShares(credits: readonly TargetCredit[], targets: readonly RouteTarget[]): boolean {
  if (credits.length !== targets.length) return false;
  const total = sum(targets);
  return credits.every(({ service, share }, index) => {
    const target = targets[index];
    return target?.service === service && target.weight / total === share;
  });
}

/** A target by its share alone. */
function byChance(credits: readonly TargetCredit[], random: RandomSource): TargetCredit | undefined {
  let rest = random() * credits.reduce((total, { share }) => total + share, 0);
  return credits.find(({ share }) => (rest -= share) < 0) ?? credits.at(-1);
}

function highest(credits: readonly TargetCredit[]): TargetCredit | undefined {
  let best: TargetCredit | undefined;
  for (const target of credits) if (!best || target.credit > best.credit) best = target;
  return best;
}
