/** Measures what membership costs and how fast it notices a crash, on the simulated network. */
import { SimulatedCluster, type SimulatedMember } from './simulated-membership-cluster.js';

/** Figures of one run. Bytes include envelope, IP and UDP headers. */
interface MembershipCost {
  readonly members: number;
  /** Bytes a second sent by a member while nothing changes: mean and highest of all members. */
  readonly meanBytesPerSecond: number;
  readonly maxBytesPerSecond: number;
  /** Highest bytes sent by a member in the ten seconds after a crash, as bytes a second. */
  readonly crashBytesPerSecond: number;
  /** Time from a crash until the first member suspects it, until the first and until the last removes it, ms. */
  readonly suspectedMs: number;
  readonly firstRemovedMs: number;
  readonly lastRemovedMs: number;
}

const CRASH_WINDOW_MS = 10_000;
const CRASHED_INDEX = 1;

/** Runs `members` in three zones for `seconds` of virtual time, then crashes one. Equal seeds give equal figures. */
export function measureMembershipCost(members: number, seconds: number, seed = 1): MembershipCost {
  const cluster = new SimulatedCluster({ size: members, seed });
  cluster.startWarm(10_000);
  const quiet = bytesSentDuring(cluster, () => cluster.clock.advance(seconds * 1_000));
  const rates = quiet.map((bytes) => bytes / seconds);
  let times = { suspectedMs: 0, firstRemovedMs: 0, lastRemovedMs: 0 };
  const afterCrash = bytesSentDuring(cluster, () => {
    times = crashAndWatch(cluster);
  });
  return {
    members,
    meanBytesPerSecond: rates.reduce((sum, rate) => sum + rate, 0) / rates.length,
    maxBytesPerSecond: Math.max(...rates),
    crashBytesPerSecond: (Math.max(...afterCrash) * 1_000) / CRASH_WINDOW_MS,
    ...times,
  };
}

/** Bytes each member that is still there sent while `run` ran. */
function bytesSentDuring(cluster: SimulatedCluster, run: () => void): number[] {
  const before = new Map([...cluster.members.values()].map((member) => [member.id, bytesSent(member)]));
  run();
  return [...cluster.members.values()].map((member) => bytesSent(member) - (before.get(member.id) ?? 0));
}

function bytesSent(member: SimulatedMember): number {
  return member.channel.meter().byKind.membership.bytesOut;
}

/** Crashes one member and runs CRASH_WINDOW_MS; times are from the crash. */
function crashAndWatch(cluster: SimulatedCluster): {
  suspectedMs: number;
  firstRemovedMs: number;
  lastRemovedMs: number;
} {
  const crashedId = cluster.idOf(CRASHED_INDEX);
  const crashedAtMs = cluster.clock.now();
  const times = { suspectedMs: Infinity, firstRemovedMs: Infinity, lastRemovedMs: 0 };
  const watch = [...cluster.members.values()]
    .filter((member) => member.id !== crashedId)
    .map((member) => {
      let removed = false;
      return member.membership.subscribe((view) => {
        const elapsedMs = cluster.clock.now() - crashedAtMs;
        const crashed = view.members.find((candidate) => candidate.id === crashedId);
        if (crashed?.state === 'suspect') times.suspectedMs = Math.min(times.suspectedMs, elapsedMs);
        if (crashed || removed) return;
        removed = true;
        times.firstRemovedMs = Math.min(times.firstRemovedMs, elapsedMs);
        times.lastRemovedMs = Math.max(times.lastRemovedMs, elapsedMs);
      });
    });
  cluster.crash(CRASHED_INDEX);
  cluster.clock.advance(CRASH_WINDOW_MS);
  for (const end of watch) end();
  return times;
}
