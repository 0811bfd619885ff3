/**
 * Decides which back ends are busy. A daemon that places one flow in a hundred does not see the flows of other daemons,
 * and could add its own to a back end that is already loaded. Pure computation without I/O.
 *
 * Inputs: rates in calls a second per unit of capacity. A back end whose rate is unknown is not busy and does not count
 * towards the mean. A service without any calls has no busy back end; this is checked before dividing by the mean.
 * Equally busy back ends keep the order of the input. A low rate is never reported, because a back end that answers
 * slowly or not at all also gets few calls.
 */
import { hashString } from '../../common/hash.js';
import { BUSY_LEVEL, MAX_BUSY_BACKENDS_PER_REPORT, TAG_MASK } from './constants.js';
import type { BusyBackend } from './types.js';

/** A back end and its call rate. */
export interface RatedBackend {
  readonly id: string;
  readonly service: string;
  /** Calls a second per unit of capacity; undefined while unknown. */
  readonly rate: number | undefined;
}

/**
 * Back ends above `BUSY_LEVEL` times the mean rate of their service, the busiest first, at most
 * `MAX_BUSY_BACKENDS_PER_REPORT`.
 */
export function findBusyBackends(ratedBackends: readonly RatedBackend[]): BusyBackend[] {
  const meanByService = meanRateByService(ratedBackends);
  const busy: BusyBackend[] = [];
  for (const { id, service, rate } of ratedBackends) {
    const mean = meanByService.get(service) ?? 0;
    if (rate === undefined || mean === 0 || rate <= mean * BUSY_LEVEL) continue;
    busy.push({ tag: hashString(id) & TAG_MASK, level: rate / mean });
  }
  return busy.sort((left, right) => right.level - left.level).slice(0, MAX_BUSY_BACKENDS_PER_REPORT);
}

function meanRateByService(ratedBackends: readonly RatedBackend[]): ReadonlyMap<string, number> {
  const sumByService = new Map<string, { total: number; count: number }>();
  for (const { service, rate } of ratedBackends) {
    if (rate === undefined) continue;
    const sum = sumByService.get(service) ?? { total: 0, count: 0 };
    sum.total += rate;
    sum.count += 1;
    sumByService.set(service, sum);
  }
  return new Map([...sumByService].map(([service, { total, count }]) => [service, total / count]));
}
