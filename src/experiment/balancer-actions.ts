/** Actions on balancers and their zones: join, leave, crash, pause, restart, replacement and partition. */
import type { ActionHandlers, ActionTargets } from './action-handlers.js';
import type { ActionRecord } from './action-record.js';
import type { Balancer } from './balancer-fleet.js';
import { MS_PER_SECOND } from './constants.js';
import { ExperimentError } from './errors.js';
import { sleepUntil } from './sleep-until.js';

/** Wait between two balancers of a rolling replacement, ms. The replacements then stand apart in the run's timeline. */
const ROLLING_PAUSE_MS = 2_000;

type BalancerActionName =
  | 'balancer-join'
  | 'balancer-leave'
  | 'balancer-crash'
  | 'balancer-pause'
  | 'balancer-resume'
  | 'balancer-restart'
  | 'balancer-replace'
  | 'balancer-replace-all'
  | 'zone-partition';

/** Carries out the actions on balancers. */
export class BalancerActions {
  readonly handlers: Pick<ActionHandlers, BalancerActionName> = {
    'balancer-join': async ({ zone }) =>
      this.record.note(`${(await this.targets.balancers.join(zone)).name} joined`),
    'balancer-leave': async ({ balancer }) => this.leave(await this.find(balancer)),
    'balancer-crash': async ({ balancer }) => this.crash(await this.find(balancer)),
    'balancer-pause': async ({ balancer, forSeconds }, signal) =>
      this.pause(await this.find(balancer), forSeconds, signal),
    'balancer-resume': async ({ balancer }) => this.resume(await this.find(balancer)),
    'balancer-restart': async ({ balancer }) => this.restart(await this.find(balancer)),
    'balancer-replace': async ({ balancer }) => this.replace(await this.find(balancer)),
    'balancer-replace-all': (_action, signal) => this.replaceAll(signal),
    'zone-partition': ({ zone, forSeconds }, signal) => this.partition(zone, forSeconds, signal),
  };

  constructor(
    private readonly targets: Pick<ActionTargets, 'balancers' | 'platform'>,
    private readonly record: ActionRecord,
  ) {}

  /** Throws `experiment.bad-answer` when `leaseholder` is asked for and no running balancer holds a lease. */
  private async find(selector: string): Promise<Balancer> {
    const { balancers, platform } = this.targets;
    if (selector !== 'leaseholder') return balancers.find(selector);
    const holders = await platform.leaseHolders();
    const holder = balancers.all.find((balancer) => holders.includes(balancer.name));
    if (holder) return holder;
    throw new ExperimentError(
      'experiment.bad-answer',
      `no running balancer holds a lease (holders: ${holders.join(', ') || 'none'})`,
      'Give the balancers time to take their leases before this action',
    );
  }

  private async leave(balancer: Balancer): Promise<void> {
    this.record.note(`${balancer.name} was asked to stop`);
    const startedAtMs = Date.now();
    const end = await this.targets.balancers.leave(balancer);
    const seconds = ((Date.now() - startedAtMs) / MS_PER_SECOND).toFixed(1);
    this.record.note(
      `${balancer.name} stopped after ${seconds} s: ${end}`,
      end.startsWith('had to be killed'),
    );
  }

  private async crash(balancer: Balancer): Promise<void> {
    await this.targets.balancers.crash(balancer);
    this.record.note(`${balancer.name} was killed`);
  }

  private async pause(balancer: Balancer, seconds: number | undefined, signal: AbortSignal): Promise<void> {
    this.targets.balancers.pause(balancer);
    this.record.note(`${balancer.name} was paused`);
    if (seconds === undefined) return;
    await sleepUntil(Date.now() + seconds * MS_PER_SECOND, signal);
    this.resume(balancer);
  }

  private resume(balancer: Balancer): void {
    this.targets.balancers.resume(balancer);
    this.record.note(`${balancer.name} was resumed`);
  }

  private async restart(balancer: Balancer): Promise<void> {
    await this.leave(balancer);
    await this.targets.balancers.start(balancer.name, balancer.zone);
    this.record.note(`${balancer.name} was started again`);
  }

  private async replace(balancer: Balancer): Promise<void> {
    const successor = await this.targets.balancers.join(balancer.zone);
    await this.targets.balancers.waitUntilReady([successor.name]);
    this.record.note(`${successor.name} joined and is ready`);
    await this.leave(balancer);
  }

  private async replaceAll(signal: AbortSignal): Promise<void> {
    for (const balancer of this.targets.balancers.all) {
      if (signal.aborted) return;
      await this.replace(balancer);
      await sleepUntil(Date.now() + ROLLING_PAUSE_MS, signal);
    }
    this.record.note('every balancer was replaced');
  }

  private async partition(zone: string, seconds: number, signal: AbortSignal): Promise<void> {
    await this.targets.balancers.partition(zone, true);
    this.record.note(`${zone} was cut off`);
    await sleepUntil(Date.now() + seconds * MS_PER_SECOND, signal);
    await this.targets.balancers.partition(zone, false);
    this.record.note(`${zone} was connected again`);
  }
}
