/** Arithmetic on the samples of a step. */
import { CONTROL_KINDS } from '../../control/types.js';
import type { HollowSample, HostSample, StepFigures } from './types.js';
import type { ScaleEdit } from './scale-cluster.js';

const MS_PER_SECOND = 1_000;
const BYTES_PER_MEGABYTE = 1_000_000;

/** Value at a share (0–1) of a list; undefined for an empty one. */
export function quantile(values: readonly number[], share: number): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
}

/** The daemons of all hosts. */
export function daemonsOf(samples: readonly HostSample[]): HollowSample[] {
  return samples.flatMap((sample) => sample.daemons);
}

/** What a step was and what was read before and after it. */
export interface StepObservation {
  readonly regions: number;
  readonly backends: number;
  readonly services: number;
  readonly openingsPerSecond: number;
  readonly changesPerSecond: number;
  readonly before: readonly HostSample[];
  readonly after: readonly HostSample[];
  readonly edits: readonly ScaleEdit[];
  readonly emptyHostBytes: number;
  readonly storeRequests: number;
  /** Sample taken when the fleet had settled, and the seconds until then. */
  readonly settled: readonly HostSample[];
  readonly settleSeconds: number;
}

/** Figures of a step, for one daemon unless the field says otherwise. */
export function stepFigures(observation: StepObservation): StepFigures {
  const { before, after, edits, emptyHostBytes } = observation;
  const seconds = (after[0]!.atWallMs - before[0]!.atWallMs) / MS_PER_SECOND;
  const earlier = new Map(daemonsOf(before).map((daemon) => [daemon.id, daemon]));
  const daemons = daemonsOf(after).filter((daemon) => earlier.has(daemon.id));
  const rate = (read: (daemon: HollowSample) => number): number[] =>
    daemons.map((daemon) => (read(daemon) - read(earlier.get(daemon.id)!)) / seconds);
  const bytesOut = rate((daemon) => sumKinds(daemon, 'bytesOut'));
  const cpuMs = sum(after.map((host, index) => host.cpuMs - before[index]!.cpuMs));
  const residentBytes = sum(after.map((host) => host.residentBytes - emptyHostBytes));
  const delays = edits.map((edit) => secondsToEverywhere(daemons, edit));
  const known = delays.flatMap((delay) => delay ?? []);
  const openings = sum(rate((daemon) => daemon.openings));
  const flows = sum(daemons.map((daemon) => daemon.openFlows + daemon.replicatedFlows));
  return {
    members: daemons.length,
    regions: observation.regions,
    backends: observation.backends,
    services: observation.services,
    flowsPerDaemon: Math.round(sum(daemons.map((daemon) => daemon.openFlows)) / daemons.length),
    openingsPerSecond: round(openings / daemons.length),
    changesPerSecond: observation.changesPerSecond,
    seconds: round(seconds),
    bytesOutPerSecond: round(quantile(bytesOut, 0.5) ?? 0),
    bytesOutPerSecondMax: round(quantile(bytesOut, 1) ?? 0),
    bytesInPerSecond: round(
      quantile(
        rate((daemon) => sumKinds(daemon, 'bytesIn')),
        0.5,
      ) ?? 0,
    ),
    bytesOutByKind: Object.fromEntries(
      CONTROL_KINDS.map((kind) => [
        kind,
        round(sum(rate((daemon) => daemon.kinds[kind].bytesOut)) / daemons.length),
      ]),
    ),
    cpuFraction: round(cpuMs / MS_PER_SECOND / seconds / daemons.length, 5),
    residentMegabytes: round(residentBytes / BYTES_PER_MEGABYTE / daemons.length),
    secondsToEverywhereMax:
      known.length === 0 || known.length < edits.length ? null : round(Math.max(...known), 3),
    secondsToEverywhereMedian: known.length === 0 ? null : round(quantile(known, 0.5)!, 3),
    storeReaders: daemons.filter((daemon) => daemon.storeReader).length,
    storeRequestsPerSecond: round(observation.storeRequests / seconds),
    falseSuspicions: membersSeen(daemons, 'suspect'),
    falseRemovals: membersSeen(daemons, 'gone'),
    ...settleFigures(observation),
    exceptionsShare: openings > 0 ? round(sum(rate((daemon) => daemon.exceptions)) / openings, 4) : null,
    flowTableBytesPerFlow:
      flows > 0 ? round(sum(daemons.map((daemon) => daemon.flowTableBytes)) / flows) : null,
    probesPerSecond: round(sum(rate((daemon) => daemon.probes)) / daemons.length),
  };
}

/** Members that any daemon saw in the state. */
export function membersSeen(daemons: readonly HollowSample[], state: string): number {
  const seen = daemons.flatMap(({ changes }) => changes.filter((change) => change.state === state));
  return new Set(seen.map(({ memberId }) => memberId)).size;
}

function settleFigures(
  observation: StepObservation,
): Pick<StepFigures, 'settleSeconds' | 'settleBytesPerDaemon' | 'settleHandoverBytesPerDaemon'> {
  const daemons = daemonsOf(observation.settled);
  const bytes = sum(daemons.map((daemon) => sumKinds(daemon, 'bytesOut')));
  const handover = sum(daemons.map((daemon) => daemon.kinds.handover.bytesOut));
  return {
    settleSeconds: round(observation.settleSeconds),
    settleBytesPerDaemon: Math.round(bytes / daemons.length),
    settleHandoverBytesPerDaemon: Math.round(handover / daemons.length),
  };
}

/** Seconds from the start of an edit until the last daemon had it (or a later version) in force. */
export function secondsToEverywhere(daemons: readonly HollowSample[], edit: ScaleEdit): number | undefined {
  let latestMs = edit.startedAtWallMs;
  for (const daemon of daemons) {
    const applied = daemon.applied.find(({ version }) => version >= edit.version);
    if (!applied) return undefined;
    latestMs = Math.max(latestMs, applied.atWallMs);
  }
  return (latestMs - edit.startedAtWallMs) / MS_PER_SECOND;
}

function sumKinds(daemon: HollowSample, field: 'bytesOut' | 'bytesIn'): number {
  return sum(CONTROL_KINDS.map((kind) => daemon.kinds[kind][field]));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function round(value: number, digits = 2): number {
  const factor = 10 ** digits;
  return Math.round(value * factor) / factor;
}
