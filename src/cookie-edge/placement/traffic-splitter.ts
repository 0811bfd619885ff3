/**
 * Rule: which service of a route's traffic split gets a new flow.
 *
 * Keeps to the configured weights even over a small number of flows, where random choices deviate from them. Does no
 * input or output.
 *
 * Smooth weighted round robin: each flow increases the credit of every service by the service's share; the service with
 * the highest credit gets the flow and loses one credit. Order: services without a candidate are skipped. If no service
 * has a candidate, all of them take part, so that credits stay balanced. Ties go to the service that comes first in the
 * route. A route that is new or has new weights starts with random credits, so that balancers with few flows each do
 * not all start with the same service.
 */
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { RandomSource } from '../../common/random.js';
import type { Route, RouteTarget } from '../routing/index.js';

/** A service with the number of flows that it is owed. */
interface TargetCredit {
  readonly service: string;
  /** Its share of the route's flows, 0 to 1. */
  readonly share: number;
  credit: number;
}

/** Chooses a service for each new flow of a route. Owns the credits of all routes. */
export class TrafficSplitter {
  private readonly credits = new Map<string, TargetCredit[]>();

  constructor(
    private readonly random: RandomSource,
    private readonly isOn: MechanismCheck = ALL_MECHANISMS_ON,
  ) {}

  /**
   * Returns the service of the next flow of `route`; undefined for a route without services. `hasCandidate` is not
   * called for a route with one service.
   */
  chooseService(route: Route, hasCandidate: (service: string) => boolean): string | undefined {
    if (route.targets.length <= 1) return route.targets[0]?.service;
    const credits = this.creditsOf(route);
    for (const target of credits) target.credit += target.share;
    const withCandidate = credits.filter((target) => hasCandidate(target.service));
    const eligible = withCandidate.length > 0 ? withCandidate : credits;
    const chosen = this.isOn('split-credit')
      ? findHighestCredit(eligible)
      : drawByShare(eligible, this.random);
    if (chosen) chosen.credit -= 1;
    return chosen?.service;
  }

  private creditsOf(route: Route): TargetCredit[] {
    const existing = this.credits.get(route.name);
    if (existing && hasSameShares(existing, route.targets)) return existing;
    const totalWeight = sumOfWeights(route.targets);
    const credits = route.targets.map(({ service, weight }) => ({
      service,
      share: weight / totalWeight,
      credit: this.random() - 1 / 2,
    }));
    this.credits.set(route.name, credits);
    return credits;
  }
}

function sumOfWeights(targets: readonly RouteTarget[]): number {
  return targets.reduce((total, { weight }) => total + weight, 0);
}

function hasSameShares(credits: readonly TargetCredit[], targets: readonly RouteTarget[]): boolean {
  if (credits.length !== targets.length) return false;
  const totalWeight = sumOfWeights(targets);
  return credits.every(({ service, share }, index) => {
    const target = targets[index];
    return target?.service === service && target.weight / totalWeight === share;
  });
}

/** Draws a service at random by its share. Used for comparison while `split-credit` is switched off. */
function drawByShare(credits: readonly TargetCredit[], random: RandomSource): TargetCredit | undefined {
  let remaining = random() * credits.reduce((total, { share }) => total + share, 0);
  return credits.find(({ share }) => (remaining -= share) < 0) ?? credits.at(-1);
}

function findHighestCredit(credits: readonly TargetCredit[]): TargetCredit | undefined {
  let highest: TargetCredit | undefined;
  for (const target of credits) if (!highest || target.credit > highest.credit) highest = target;
  return highest;
}
