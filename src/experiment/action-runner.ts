/** Carries out the planned actions of a run at their times and notes what became of each. */
import Result from 'true-myth/result';
import {
  drainNode,
  removeNode,
  setFields,
  unsetFields,
  type FieldValue,
  type TreeEdit,
  type TreeError,
} from '../settings/index.js';
import type { BackendProcesses } from './backend-processes.js';
import type { Balancer, BalancerFleet } from './balancer-fleet.js';
import type { RunEvent } from './document.js';
import { ExperimentError } from './errors.js';
import type { Operators, OperatorEdit } from './operator.js';
import type { PlatformControl } from './platform-control.js';
import type { PlainAction } from './run-plan.js';
import { isUnplanned, type TreeOperation } from './scenario-actions.js';
import type { SiteTemplate } from './site-template.js';

/** Wait between two balancers of a rolling replacement, ms. */
const ROLLING_PAUSE_MS = 2_000;
const SPARE_OPERATOR = 'operator';

/** A time during which an unplanned fault may break flows. */
export interface FaultPeriod {
  readonly fromMs: number;
  untilMs: number | undefined;
}

/** A back end taken out of service on purpose or by a fault. */
export interface Withdrawal {
  readonly backend: string;
  /** Wall ms when the edit was accepted or the fault began. */
  readonly atMs: number;
  readonly cause: 'drain' | 'fault';
}

interface ActionTargets {
  readonly balancers: BalancerFleet;
  readonly backends: BackendProcesses;
  readonly platform: PlatformControl;
  readonly operators: Operators;
  readonly site: SiteTemplate;
}

export class ActionRunner {
  readonly events: RunEvent[] = [];
  readonly faults: FaultPeriod[] = [];
  readonly withdrawals: Withdrawal[] = [];
  /** Back ends that crashed, by full path. */
  readonly crashed = new Set<string>();

  constructor(
    private readonly targets: ActionTargets,
    /** Wall ms of the start of the load. */
    private readonly startedAtMs: number,
  ) {}

  /** Runs the plan; ends when every action has ended or `signal` aborts. Failures are noted, not thrown. */
  async run(plan: readonly PlainAction[], signal: AbortSignal): Promise<void> {
    await Promise.all(plan.map((action) => this.runAt(action, signal)));
  }

  private async runAt(action: PlainAction, signal: AbortSignal): Promise<void> {
    await sleepUntil(this.startedAtMs + action.at * 1_000, signal);
    if (signal.aborted) return;
    const period = isUnplanned(action.do) ? this.openFault() : undefined;
    try {
      await this.carryOut(action, signal);
    } catch (error) {
      this.note(`${action.do}: ${error instanceof Error ? error.message : String(error)}`, true);
    }
    if (period) period.untilMs = Date.now();
  }

  private async carryOut(action: PlainAction, signal: AbortSignal): Promise<void> {
    switch (action.do) {
      case 'balancer-join':
        return this.note(`${(await this.targets.balancers.join(action.zone)).name} joined`);
      case 'balancer-leave':
        return this.leave(await this.balancer(action.balancer));
      case 'balancer-crash':
        return this.crash(await this.balancer(action.balancer));
      case 'balancer-pause':
        return this.pause(await this.balancer(action.balancer), action.forSeconds, signal);
      case 'balancer-resume':
        return this.resume(await this.balancer(action.balancer));
      case 'balancer-restart':
        return this.restart(await this.balancer(action.balancer));
      case 'balancer-replace':
        return this.replace(await this.balancer(action.balancer));
      case 'balancer-replace-all':
        return this.replaceAll(signal);
      case 'tree-edit':
        return this.editRepeatedly(action, signal);
      case 'backend-drain':
        return this.drain(this.backendPath(action.backend), true);
      case 'backend-undrain':
        return this.drain(this.backendPath(action.backend), false);
      case 'backend-add':
        return this.addBackend(this.backendPath(action.backend));
      case 'backend-remove':
        return this.editOnce(
          SPARE_OPERATOR,
          `remove ${action.backend}`,
          removeNode(this.backendPath(action.backend)),
        );
      case 'backend-crash':
        return this.crashBackend(this.backendPath(action.backend));
      case 'backend-restart':
        await this.targets.backends.setFaults(this.backendPath(action.backend), { crash: false });
        return this.note(`${action.backend} started again`);
      case 'backend-faults':
        return this.faultBackend(action, signal);
      case 'platform-faults':
        return this.faultPlatform(action, signal);
      case 'zone-partition':
        return this.partition(action.zone, action.forSeconds, signal);
    }
  }

  private async balancer(selector: string): Promise<Balancer> {
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
    this.note(`${balancer.name} was asked to stop`);
    const startedAtMs = Date.now();
    const end = await this.targets.balancers.leave(balancer);
    const seconds = ((Date.now() - startedAtMs) / 1_000).toFixed(1);
    this.note(`${balancer.name} stopped after ${seconds} s: ${end}`, end.startsWith('had to be killed'));
  }

  private async crash(balancer: Balancer): Promise<void> {
    await this.targets.balancers.crash(balancer);
    this.note(`${balancer.name} was killed`);
  }

  private async pause(balancer: Balancer, seconds: number | undefined, signal: AbortSignal): Promise<void> {
    this.targets.balancers.pause(balancer);
    this.note(`${balancer.name} was paused`);
    if (seconds === undefined) return;
    await sleepUntil(Date.now() + seconds * 1_000, signal);
    this.resume(balancer);
  }

  private resume(balancer: Balancer): void {
    this.targets.balancers.resume(balancer);
    this.note(`${balancer.name} was resumed`);
  }

  private async restart(balancer: Balancer): Promise<void> {
    await this.leave(balancer);
    await this.targets.balancers.start(balancer.name, balancer.zone);
    this.note(`${balancer.name} was started again`);
  }

  private async replace(balancer: Balancer): Promise<void> {
    const successor = await this.targets.balancers.join(balancer.zone);
    await this.targets.balancers.waitUntilReady([successor.name]);
    this.note(`${successor.name} joined and is ready`);
    await this.leave(balancer);
  }

  private async replaceAll(signal: AbortSignal): Promise<void> {
    for (const balancer of this.targets.balancers.all) {
      if (signal.aborted) return;
      await this.replace(balancer);
      await sleepUntil(Date.now() + ROLLING_PAUSE_MS, signal);
    }
    this.note('every balancer was replaced');
  }

  private async editRepeatedly(
    action: Extract<PlainAction, { do: 'tree-edit' }>,
    signal: AbortSignal,
  ): Promise<void> {
    const edits: Promise<void>[] = [];
    for (let round = 0; round < action.repeat && !signal.aborted; round += 1) {
      const operations = action.operations.map((operation) => raised(operation, round));
      const summary = operations.map(describeOperation).join(', ');
      edits.push(this.editOnce(action.operator, summary, this.combined(operations)));
      if (round + 1 < action.repeat) await sleepUntil(Date.now() + action.everySeconds * 1_000, signal);
    }
    await Promise.all(edits);
  }

  private async editOnce(operator: string, summary: string, edit: TreeEdit): Promise<void> {
    const record = await this.targets.operators.edit(operator, summary, edit);
    this.noteEdit(record);
  }

  private noteEdit(record: OperatorEdit): void {
    const what = `${record.operator}: ${record.summary}`;
    if (record.outcome === 'accepted') this.note(`${what}: ${record.message}, version ${record.version}`);
    else this.note(`${what}: ${record.outcome}: ${record.message}`, record.outcome === 'failed');
  }

  /** One edit of all operations; their nodes are full paths by now. */
  private combined(operations: readonly TreeOperation[]): TreeEdit {
    const edits = operations.map(({ node, field, value }) => {
      return value === undefined
        ? unsetFields(node, [field])
        : setFields(node, { [field]: value as FieldValue });
    });
    return (document) => {
      let result: ReturnType<TreeEdit> = Result.ok<typeof document, TreeError>(document);
      for (const edit of edits) result = result.andThen(edit);
      return result;
    };
  }

  private async drain(path: string, draining: boolean): Promise<void> {
    const summary = `${draining ? 'drain' : 'undrain'} ${path}`;
    const record = await this.targets.operators.edit(SPARE_OPERATOR, summary, drainNode(path, draining));
    this.noteEdit(record);
    if (!draining || record.outcome !== 'accepted') return;
    this.withdrawals.push({ backend: path, atMs: record.acceptedAtMs, cause: 'drain' });
  }

  private async addBackend(path: string): Promise<void> {
    const { backends, site } = this.targets;
    // Restarted at this moment, so that a cold start begins now.
    await backends.setFaults(path, { crash: true });
    await backends.setFaults(path, { crash: false });
    await this.editOnce(
      SPARE_OPERATOR,
      `add ${path}`,
      setFields(path, site.backendFields(path, backends.addresses.get(path)!)),
    );
  }

  private async crashBackend(path: string): Promise<void> {
    await this.targets.backends.setFaults(path, { crash: true });
    this.crashed.add(path);
    this.withdrawals.push({ backend: path, atMs: Date.now(), cause: 'fault' });
    this.note(`${path} crashed`);
  }

  private async faultBackend(
    action: Extract<PlainAction, { do: 'backend-faults' }>,
    signal: AbortSignal,
  ): Promise<void> {
    const path = this.backendPath(action.backend);
    await this.targets.backends.setFaults(path, action.faults);
    if (action.faults.blackhole) {
      this.crashed.add(path);
      this.withdrawals.push({ backend: path, atMs: Date.now(), cause: 'fault' });
    }
    this.note(`${path}: ${JSON.stringify(action.faults)}`);
    if (action.forSeconds === undefined) return;
    await sleepUntil(Date.now() + action.forSeconds * 1_000, signal);
    await this.targets.backends.setFaults(path, NO_BACKEND_FAULTS);
    this.note(`${path}: faults off`);
  }

  private async faultPlatform(
    action: Extract<PlainAction, { do: 'platform-faults' }>,
    signal: AbortSignal,
  ): Promise<void> {
    await this.targets.platform.setFaults(action.faults);
    this.note(`platform: ${JSON.stringify(action.faults)}`);
    if (action.forSeconds === undefined) return;
    await sleepUntil(Date.now() + action.forSeconds * 1_000, signal);
    await this.targets.platform.clearFaults();
    this.note('platform: faults off');
  }

  private async partition(zone: string, seconds: number, signal: AbortSignal): Promise<void> {
    await this.targets.balancers.partition(zone, true);
    this.note(`${zone} was cut off`);
    await sleepUntil(Date.now() + seconds * 1_000, signal);
    await this.targets.balancers.partition(zone, false);
    this.note(`${zone} was connected again`);
  }

  private backendPath(name: string): string {
    return this.targets.site.backends.find((backend) => backend.name.endsWith(`/${name}`))!.name;
  }

  private openFault(): FaultPeriod {
    const period: FaultPeriod = { fromMs: Date.now(), untilMs: undefined };
    this.faults.push(period);
    return period;
  }

  private note(text: string, failed = false): void {
    this.events.push({ atSeconds: (Date.now() - this.startedAtMs) / 1_000, text, failed });
  }
}

const NO_BACKEND_FAULTS = {
  healthLies: false,
  loadLies: false,
  loadLagMs: 0,
  blackhole: false,
  refuseOpenings: false,
  slowFactor: 1,
} as const;

/** Waits until a wall time, or until `signal` aborts. */
export async function sleepUntil(wallMs: number, signal: AbortSignal): Promise<void> {
  const delayMs = wallMs - Date.now();
  if (delayMs <= 0 || signal.aborted) return;
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, delayMs);
    signal.addEventListener('abort', finish);
  });
}

function raised(operation: TreeOperation, round: number): TreeOperation {
  return typeof operation.value === 'number' ? { ...operation, value: operation.value + round } : operation;
}

function describeOperation({ node, field, value }: TreeOperation): string {
  return value === undefined ? `unset ${node} ${field}` : `${node} ${field}=${String(value)}`;
}
