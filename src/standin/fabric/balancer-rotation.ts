/** Keeps the list of balancers that pass their readiness check. */
import { request } from 'undici';
import type { Clock, TimerHandle } from '../../common/clock.js';
import { sameEndpoint, type Endpoint } from '../../common/types.js';
import type { FabricBalancer } from './types.js';

/**
 * Time between two checks of a balancer, and the wait for an answer, ms. A balancer is then out within about a second
 * of its end.
 */
const CHECK_INTERVAL_MS = 200;
const CHECK_TIMEOUT_MS = 500;
/** Consecutive failures that take a balancer out; one success puts it in. One may be lost. */
const FAILURES_UNTIL_OUT = 2;
const HTTP_OK = 200;

interface Checked {
  readonly balancer: FabricBalancer;
  failures: number;
  inRotation: boolean;
  checking: boolean;
}

async function isReady(admin: Endpoint): Promise<boolean> {
  try {
    const answer = await request(`http://${admin.host}:${admin.port}/readyz`, {
      headersTimeout: CHECK_TIMEOUT_MS,
      bodyTimeout: CHECK_TIMEOUT_MS,
      signal: AbortSignal.timeout(CHECK_TIMEOUT_MS),
    });
    await answer.body.dump();
    return answer.statusCode === HTTP_OK;
  } catch {
    // No answer in time is a missed check, whatever the reason.
    return false;
  }
}

/** Checked balancers; `ready` is a plain array that is replaced on change. */
export class BalancerRotation {
  private checked: Checked[] = [];
  private timer: TimerHandle | undefined;
  /** Balancers that get packets now. */
  ready: readonly FabricBalancer[] = [];

  constructor(private readonly clock: Clock) {}

  /** Replaces the list; a balancer that stays keeps its state, a new one waits for its first good check. */
  replace(balancers: readonly FabricBalancer[]): void {
    this.checked = balancers.map((balancer) => this.find(balancer) ?? this.fresh(balancer));
    this.refresh();
  }

  start(): void {
    for (const entry of this.checked) void this.check(entry);
    this.timer = this.clock.schedule(CHECK_INTERVAL_MS, () => this.start());
  }

  stop(): void {
    this.timer?.cancel();
  }

  private find(balancer: FabricBalancer): Checked | undefined {
    return this.checked.find(
      (entry) =>
        entry.balancer.name === balancer.name &&
        sameEndpoint(entry.balancer.data, balancer.data) &&
        sameEndpoint(entry.balancer.admin, balancer.admin),
    );
  }

  private fresh(balancer: FabricBalancer): Checked {
    return { balancer, failures: 0, inRotation: false, checking: false };
  }

  private async check(entry: Checked): Promise<void> {
    if (entry.checking) return;
    entry.checking = true;
    const ready = await isReady(entry.balancer.admin);
    entry.checking = false;
    entry.failures = ready ? 0 : entry.failures + 1;
    const inRotation = ready || (entry.inRotation && entry.failures < FAILURES_UNTIL_OUT);
    if (inRotation === entry.inRotation) return;
    entry.inRotation = inRotation;
    this.refresh();
  }

  private refresh(): void {
    this.ready = this.checked.filter((entry) => entry.inRotation).map((entry) => entry.balancer);
  }
}
