/** Actions on back ends: drain, addition, removal, crash, restart and faults. */
import { drainNode, removeNode, setFields } from '../settings/index.js';
import type { ActionHandlers, ActionOf, ActionTargets } from './action-handlers.js';
import type { ActionRecord } from './action-record.js';
import { MS_PER_SECOND } from './constants.js';
import { sleepUntil } from './sleep-until.js';
import type { TreeEdits } from './tree-edits.js';

/** Author of the edits that an action makes without naming an operator. */
const SPARE_OPERATOR = 'operator';

const NO_BACKEND_FAULTS = {
  healthLies: false,
  loadLies: false,
  loadLagMs: 0,
  blackhole: false,
  refuseOpenings: false,
  slowFactor: 1,
} as const;

type BackendActionName =
  | 'backend-drain'
  | 'backend-undrain'
  | 'backend-add'
  | 'backend-remove'
  | 'backend-crash'
  | 'backend-restart'
  | 'backend-faults';

/** Carries out the actions on back ends; actions name them by the last part of their node path. */
export class BackendActions {
  readonly handlers: Pick<ActionHandlers, BackendActionName> = {
    'backend-drain': async ({ backend }) => this.drain(this.pathOf(backend), true),
    'backend-undrain': async ({ backend }) => this.drain(this.pathOf(backend), false),
    'backend-add': async ({ backend }) => this.add(this.pathOf(backend)),
    'backend-remove': async ({ backend }) => {
      await this.edits.edit(SPARE_OPERATOR, `remove ${backend}`, removeNode(this.pathOf(backend)));
    },
    'backend-crash': async ({ backend }) => this.crash(this.pathOf(backend)),
    'backend-restart': async ({ backend }) => {
      await this.targets.backends.setFaults(this.pathOf(backend), { crash: false });
      this.record.note(`${backend} started again`);
    },
    'backend-faults': (action, signal) => this.disturb(action, signal),
  };

  constructor(
    private readonly targets: Pick<ActionTargets, 'backends' | 'site'>,
    private readonly record: ActionRecord,
    private readonly edits: TreeEdits,
  ) {}

  private async drain(path: string, draining: boolean): Promise<void> {
    const summary = `${draining ? 'drain' : 'undrain'} ${path}`;
    const made = await this.edits.edit(SPARE_OPERATOR, summary, drainNode(path, draining));
    if (!draining || made.outcome !== 'accepted') return;
    this.record.withdrawals.push({ backend: path, atMs: made.acceptedAtMs, cause: 'drain' });
  }

  private async add(path: string): Promise<void> {
    const { backends, site } = this.targets;
    // Restarted at this moment, so that a cold start begins now.
    await backends.setFaults(path, { crash: true });
    await backends.setFaults(path, { crash: false });
    const fields = site.backendFields(path, backends.addresses.get(path)!);
    await this.edits.edit(SPARE_OPERATOR, `add ${path}`, setFields(path, fields));
  }

  private async crash(path: string): Promise<void> {
    await this.targets.backends.setFaults(path, { crash: true });
    this.record.noteCrash(path);
    this.record.note(`${path} crashed`);
  }

  private async disturb(action: ActionOf<'backend-faults'>, signal: AbortSignal): Promise<void> {
    const path = this.pathOf(action.backend);
    await this.targets.backends.setFaults(path, action.faults);
    if (action.faults.blackhole) this.record.noteCrash(path);
    this.record.note(`${path}: ${JSON.stringify(action.faults)}`);
    if (action.forSeconds === undefined) return;
    await sleepUntil(Date.now() + action.forSeconds * MS_PER_SECOND, signal);
    await this.targets.backends.setFaults(path, NO_BACKEND_FAULTS);
    this.record.note(`${path}: faults off`);
  }

  private pathOf(name: string): string {
    return this.targets.site.backends.find((backend) => backend.name.endsWith(`/${name}`))!.name;
  }
}
