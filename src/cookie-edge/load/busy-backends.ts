/**
 * Rule: which back ends are busy. Keeps daemons that each place one flow in a hundred from piling them up where other
 * daemons' flows already are. Does no input or output.
 *
 * Inputs: rates in calls a second for each unit of capacity. A back end without a rate yet counts neither as busy nor
 * towards the mean. A service without any calls has no busy back end, which is tested before the division by the mean.
 * Of equally busy ones the first listed is reported first. Nothing follows from a low rate: a back end that answers
 * slowly or not at all gets few calls.
 */
import { hashString } from '../../common/hash.js';
import { BUSY_LEVEL, MAX_REPORTED, TAG_MASK } from './constants.js';
import type { BusyBackend } from './types.js';

/** A back end and its rate; undefined while it is unknown. */
export interface RatedBackend {
  readonly id: string;
  readonly service: string;
  readonly rate: number | undefined;
}

/** Back ends above `BUSY_LEVEL` times the mean rate of their service, the busiest first, at most `MAX_REPORTED`. */
export function busyBackends(rated: readonly RatedBackend[]): BusyBackend[] {
  const means = meanRates(rated);
  const busy: BusyBackend[] = [];
  for (const { id, service, rate } of rated) {
    const mean = means.get(service) ?? 0;
    if (rate === undefined || mean === 0 || rate <= mean * BUSY_LEVEL) continue;
    busy.push({ tag: hashString(id) & TAG_MASK, level: rate / mean });
  }
  return busy.sort((left, right) => right.level - left.level).slice(0, MAX_REPORTED);
}

function meanRates(rated: readonly RatedBackend[]): ReadonlyMap<string, number> {
  const sums = new Map<string, { total: number; backends: number }>();
  for (const { service, rate } of rated) {
    if (rate === undefined) continue;
    const sum = sums.get(service) ?? { total: 0, backends: 0 };
    sum.total += rate;
    sum.backends += 1;
    sums.set(service, sum);
  }
  return new Map([...sums].map(([service, { total, backends }]) => [service, total / backends]));
}
