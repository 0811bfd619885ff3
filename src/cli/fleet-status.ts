/** Reads the status of every balancer of a region over their admin addresses. */
import { request } from 'undici';
import { formatEndpoint, SailquayError, type Endpoint } from '../common/types.js';
import type { BackendStatus, DaemonStatus, DaemonSummary, MemberStatus } from '../gue-edge/daemon/status.js';
import type { StatusView } from '../observability/index.js';

/** Longest wait for one daemon's answer, ms. A daemon that is slower counts as unreachable. */
const STATUS_TIMEOUT_MS = 3_000;

/** Balancers that are asked for what they believe of each back end; the others give counts only. A few. */
const BACKEND_WITNESSES = 5;

/** Daemons asked at the same time. Bounds sockets on fleets of over 1,000. */
const PARALLEL_REQUESTS = 32;

const HTTP_OK = 200;

/** No admin address gave an answer. */
export class FleetUnreachableError extends SailquayError {
  readonly kind = 'cli.fleet-unreachable';

  constructor(addresses: readonly string[], reasons: readonly string[]) {
    super(
      `no daemon answered at ${addresses.join(', ')} (${reasons.join('; ')})`,
      'Give the admin address of a running daemon with --admin',
    );
  }
}

/** What is known of one balancer: its own status, or why it could not be had. */
export interface BalancerReport {
  readonly id: string;
  readonly admin: string;
  readonly zone: string;
  /** State as the daemon that was asked first sees it. */
  readonly state: MemberStatus['state'];
  readonly status?: DaemonSummary;
  /** What it believes of each back end; only some balancers are asked. */
  readonly backends?: readonly BackendStatus[];
  readonly error?: string;
}

/** The balancers of a region as one of them lists them. */
export interface FleetReport {
  readonly region: string;
  readonly askedFirst: string;
  readonly balancers: readonly BalancerReport[];
}

/** Asks the first of `admins` that answers for its members, then every member. Throws `FleetUnreachableError`. */
export async function readFleet(admins: readonly Endpoint[]): Promise<FleetReport> {
  const first = await firstAnswer(admins);
  const { members } = first.membership;
  const witnesses = new Set(members.slice(0, BACKEND_WITNESSES - 1).map(({ id }) => id)).add(first.id);
  const balancers = await inBatches(members, (member) => readBalancer(member, witnesses.has(member.id)));
  return { region: first.region, askedFirst: first.id, balancers };
}

async function firstAnswer(admins: readonly Endpoint[]): Promise<DaemonStatus> {
  const reasons: string[] = [];
  for (const admin of admins) {
    try {
      return await readStatus<DaemonStatus>(formatEndpoint(admin), 'full');
    } catch (error) {
      reasons.push(describe(error));
    }
  }
  throw new FleetUnreachableError(admins.map(formatEndpoint), reasons);
}

async function readBalancer(member: MemberStatus, isWitness: boolean): Promise<BalancerReport> {
  const { id, admin, zone, state } = member;
  try {
    if (!isWitness)
      return { id, admin, zone, state, status: await readStatus<DaemonSummary>(admin, 'summary') };
    const { backends, ...status } = await readStatus<DaemonStatus>(admin, 'full');
    return { id, admin, zone, state, status, backends };
  } catch (error) {
    return { id, admin, zone, state, error: describe(error) };
  }
}

async function readStatus<T>(admin: string, view: StatusView): Promise<T> {
  const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
  const answer = await request(`http://${admin}/status?view=${view}`, { signal });
  if (answer.statusCode !== HTTP_OK) {
    await answer.body.dump();
    throw new Error(`status ${answer.statusCode}`);
  }
  return (await answer.body.json()) as T;
}

async function inBatches<T, R>(items: readonly T[], read: (item: T) => Promise<R>): Promise<R[]> {
  const results: R[] = [];
  for (let start = 0; start < items.length; start += PARALLEL_REQUESTS) {
    results.push(...(await Promise.all(items.slice(start, start + PARALLEL_REQUESTS).map(read))));
  }
  return results;
}

function describe(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return 'code' in error ? `${String(error.code)}` : error.message;
}
