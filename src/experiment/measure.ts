/** Figures from samples: imbalance, drain, health decisions, settings in force, control. Times are wall ms. */
import { CONTROL_KINDS } from '../gue-edge/control/types.js';
import { MS_PER_SECOND } from './constants.js';
import { totalBytes, type DaemonHistory, type EligibilityChange, type UsageSample } from './fleet-monitor.js';
import type { Absence } from './balancer-fleet.js';
import type { Withdrawal } from './action-record.js';
import type { BackendSample, SampledBackend } from './backend-sampler.js';
import type { ControlFigures, ImbalanceFigures, PerService } from './document.js';
import type { OperatorEdit } from './operator.js';
import { shortName } from './site-template.js';
import {
  coefficientOfVariation,
  maxAndMedian,
  mean,
  meanOverSamples,
  peakToMean,
  type MaxAndMedian,
} from './statistics.js';

/** Which back ends count for the balance at a moment: those in service, not drained, removed, spare or crashed. */
export type InService = (backend: string, atMs: number) => boolean;

type Figure = (values: readonly number[]) => number | null;

/** Imbalance by service, over the samples given. */
export function imbalance(samples: readonly BackendSample[], inService: InService): ImbalanceFigures {
  const services = [
    ...new Set(samples.flatMap((sample) => sample.backends.map((backend) => backend.service))),
  ];
  const table = (value: (backend: SampledBackend) => number, figure: Figure): PerService =>
    Object.fromEntries(
      services.map((service) => [
        shortName(service),
        meanOverSamples(
          samples.map((sample) => valuesOf(sample, service, inService, value)),
          figure,
        ),
      ]),
    );
  const openFlows = (backend: SampledBackend): number => backend.openFlows;
  const busySlots = (backend: SampledBackend): number => backend.busySlots;
  return {
    peakToMean: table(openFlows, peakToMean),
    coefficientOfVariation: table(openFlows, coefficientOfVariation),
    busySlots: {
      peakToMean: table(busySlots, peakToMean),
      coefficientOfVariation: table(busySlots, coefficientOfVariation),
      mean: table(busySlots, mean),
      peakToMeanOfAverages: Object.fromEntries(
        services.map((service) => [
          shortName(service),
          peakToMean(averages(samples, service, inService, busySlots)),
        ]),
      ),
    },
  };
}

/**
 * Longest time from an accepted drain to the back end's last new flow, seconds, as the back end itself saw it (a new
 * flow shows in the first sample after it); 0 when none came. Null without a drain.
 */
export function secondsToLastNewFlow(
  samples: readonly BackendSample[],
  withdrawals: readonly Withdrawal[],
): number | null {
  const drains = withdrawals.filter((withdrawal) => withdrawal.cause === 'drain');
  const seconds = drains.flatMap((drain) => {
    const last = lastNewFlowMs(samples, drain);
    return last === undefined ? [] : [Math.max(0, last - drain.atMs) / MS_PER_SECOND];
  });
  return seconds.length === 0 ? null : Math.max(...seconds);
}

/** Longest time from a back end's fault until every daemon that decided held it ineligible, seconds. */
export function secondsToIneligible(
  withdrawals: readonly Withdrawal[],
  changes: readonly EligibilityChange[],
  daemons: readonly string[],
  endMs: number,
): number | null {
  const faults = withdrawals.filter((withdrawal) => withdrawal.cause === 'fault');
  if (faults.length === 0 || daemons.length === 0) return null;
  const times = faults.flatMap((fault) =>
    daemons.map((daemon) => {
      const change = changes.find(
        (entry) =>
          entry.daemon === daemon &&
          entry.backend === fault.backend &&
          !entry.eligible &&
          entry.atMs >= fault.atMs,
      );
      return ((change?.atMs ?? endMs) - fault.atMs) / MS_PER_SECOND;
    }),
  );
  return Math.max(...times);
}

/** How long an accepted edit took at the slowest balancer. */
export interface EditSpread {
  /** Seconds from acceptance; null when no balancer was there to judge by. */
  readonly seconds: number | null;
  /** Balancers that did not have it in force when last seen. */
  readonly missing: readonly string[];
}

/**
 * Time until an edit's version, or a later one, was in force at every balancer that was there all the time: started
 * before it, neither stopped, paused nor cut off from its acceptance until it was in force.
 */
export function editSpread(
  edit: OperatorEdit,
  histories: readonly DaemonHistory[],
  absences: readonly Absence[],
  endMs: number,
): EditSpread {
  const seconds: number[] = [];
  const missing: string[] = [];
  for (const history of histories) {
    const first = history.usage[0];
    if (!first || first.atMs > edit.acceptedAtMs) continue;
    const applied = history.versions.find((entry) => entry.version >= (edit.version ?? Infinity));
    const untilMs = applied?.sinceMs ?? endMs;
    if (wasAbsent(history.name, edit.acceptedAtMs, untilMs, absences)) continue;
    seconds.push(Math.max(0, untilMs - edit.acceptedAtMs) / MS_PER_SECOND);
    if (!applied) missing.push(history.name);
  }
  return { seconds: seconds.length === 0 ? null : Math.max(...seconds), missing };
}

/** Control figures over daemons, from the polls since `sinceMs`. Processor time is that of the whole process. */
export function controlFigures(histories: readonly DaemonHistory[], sinceMs: number): ControlFigures {
  const spans = histories.flatMap((history) => usageSpan(history, sinceMs));
  const perSecond = (value: (sample: UsageSample) => number): MaxAndMedian =>
    maxAndMedian(spans.map(({ first, last, seconds }) => (value(last) - value(first)) / seconds));
  const byKind = CONTROL_KINDS.map((kind) => [kind, perSecond((sample) => sample.controlBytes[kind])]);
  return {
    bytesPerSecondPerDaemon: perSecond(totalBytes),
    bytesSentPerSecondPerDaemon: perSecond((sample) => sample.controlBytesSent),
    bytesPerSecondByKind: Object.fromEntries(byKind) as ControlFigures['bytesPerSecondByKind'],
    cpuFraction: perSecond((sample) => sample.cpuSeconds),
    residentMegabytes: maxAndMedian(spans.map((span) => span.peakResidentBytes / BYTES_PER_MEGABYTE)),
  };
}

interface UsageSpan {
  readonly first: UsageSample;
  readonly last: UsageSample;
  readonly seconds: number;
  readonly peakResidentBytes: number;
}

/** The span between a daemon's first and last poll; none when it is too short for a rate. */
function usageSpan(history: DaemonHistory, sinceMs: number): UsageSpan[] {
  const usage = history.usage.filter((sample) => sample.atMs >= sinceMs);
  const first = usage[0];
  const last = usage.at(-1);
  if (!first || !last || last.atMs - first.atMs < MIN_USAGE_SPAN_MS) return [];
  const peakResidentBytes = Math.max(...usage.map((sample) => sample.residentBytes));
  return [{ first, last, seconds: (last.atMs - first.atMs) / MS_PER_SECOND, peakResidentBytes }];
}

/** Exceptions over flows opened, of all daemons together; null when none opened a flow. */
export function exceptionsShare(histories: readonly DaemonHistory[]): number | null {
  const last = histories.flatMap((history) => history.usage.slice(-1));
  const opened = last.reduce((sum, sample) => sum + sample.opened, 0);
  const exceptions = last.reduce((sum, sample) => sum + sample.exceptions, 0);
  return opened === 0 ? null : exceptions / opened;
}

/** Shortest time over which a processor share is worked out, ms. Shorter ones are mostly noise. */
const MIN_USAGE_SPAN_MS = 2_000;
const BYTES_PER_MEGABYTE = 1_000_000;

function valuesOf(
  sample: BackendSample,
  service: string,
  inService: InService,
  value: (backend: SampledBackend) => number,
): number[] {
  return sample.backends
    .filter((backend) => backend.service === service && inService(backend.name, sample.atMs))
    .map(value);
}

/** Each back end's value averaged over the samples in which it was in service. */
function averages(
  samples: readonly BackendSample[],
  service: string,
  inService: InService,
  value: (backend: SampledBackend) => number,
): number[] {
  const byBackend = new Map<string, number[]>();
  for (const sample of samples) {
    for (const backend of sample.backends) {
      if (backend.service !== service || !inService(backend.name, sample.atMs)) continue;
      const values = byBackend.get(backend.name) ?? [];
      byBackend.set(backend.name, values);
      values.push(value(backend));
    }
  }
  return [...byBackend.values()].flatMap((values) => mean(values) ?? []);
}

function lastNewFlowMs(samples: readonly BackendSample[], drain: Withdrawal): number | undefined {
  let before: number | undefined;
  let lastMs: number | undefined;
  for (const sample of samples) {
    const opened = sample.backends.find((backend) => backend.name === drain.backend)?.opened;
    if (opened === undefined) continue;
    if (sample.atMs >= drain.atMs) lastMs ??= drain.atMs;
    if (sample.atMs >= drain.atMs && before !== undefined && opened > before) lastMs = sample.atMs;
    before = opened;
  }
  return lastMs;
}

function wasAbsent(name: string, fromMs: number, untilMs: number, absences: readonly Absence[]): boolean {
  return absences.some(
    (absence) =>
      absence.name === name && absence.fromMs <= untilMs && (absence.untilMs ?? Infinity) >= fromMs,
  );
}
