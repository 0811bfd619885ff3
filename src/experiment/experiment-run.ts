/** One run of a scenario: starts every process, carries the plan out under load, measures, and stops everything. */
import { mkdirSync } from 'node:fs';
import type { PlacementMode } from '../gue-edge/placement/types.js';
import { ActionRunner } from './action-runner.js';
import { BackendProcesses } from './backend-processes.js';
import { BackendSampler } from './backend-sampler.js';
import { BalancerFleet } from './balancer-fleet.js';
import { buildDocument, type RunRecord } from './build-document.js';
import { MS_PER_SECOND, REPORT_REQUEST_TIMEOUT_MS, RUN_GRACE_MS } from './constants.js';
import type { ExperimentDocument } from './document.js';
import { ExperimentError } from './errors.js';
import { FleetMonitor } from './fleet-monitor.js';
import { ControlClient, readEndpoint } from './http-control.js';
import type { Executions } from './join-reports.js';
import { LoadProcesses } from './load-processes.js';
import { Operators } from './operator.js';
import { PlatformControl } from './platform-control.js';
import { ProcessLauncher } from './process-launcher.js';
import { RunDirectory } from './run-directory.js';
import { planActions, type PlainAction } from './run-plan.js';
import { EDIT_HISTORY_LENGTH } from '../settings/index.js';
import type { LoadSettings, Scenario } from './scenario.js';
import { resolveNames, ScenarioNames } from './scenario-names.js';
import { shortName, SiteTemplate } from './site-template.js';
import { sleepUntil } from './sleep-until.js';
import { median } from './statistics.js';

/**
 * Time between two polls of the callers' totals during a run, ms. A caller that gives no final report then lacks at
 * most about the last second of its counts.
 */
const CALLER_POLL_INTERVAL_MS = 1_000;

/**
 * Share of samples that may be late before the imbalance counts as partly measured, of 1. The imbalance is a mean over
 * samples, which a tenth of them moves little.
 */
const MAX_MISSED_SHARE = 0.1;

interface RunOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly mode: PlacementMode;
  /** Aborts the run (Ctrl-C): everything is stopped and the run rejects. */
  readonly signal: AbortSignal;
  /** Where the standard error of each process is kept; absent: nowhere. */
  readonly logDirectory?: string;
  /** Told what happens, for a person who waits. */
  readonly progress: (text: string) => void;
}

/** Runs a scenario once. Rejects when it could not be started or was interrupted; nothing is left running then. */
export async function runScenario(options: RunOptions): Promise<ExperimentDocument> {
  const run = new ExperimentRun(options);
  const limitMs = options.scenario.durationSeconds * MS_PER_SECOND + RUN_GRACE_MS;
  try {
    return await Promise.race([
      run.execute(),
      interruption(options.signal),
      timeLimit(limitMs, options.signal),
    ]);
  } finally {
    await run.dispose();
  }
}

/** The stand-ins and balancers of a run once they are started. */
interface Stage {
  readonly backends: BackendProcesses;
  readonly platform: PlatformControl;
  readonly operators: Operators;
  readonly balancers: BalancerFleet;
  readonly loads: LoadProcesses;
}

/** What was planned and what was seen from the start of the load to the last answers. */
type ObservedRun = Pick<RunRecord, 'plan' | 'startedAtMs' | 'endedAtMs' | 'actions' | 'monitor' | 'sampler'>;

class ExperimentRun {
  private readonly launcher: ProcessLauncher;
  private readonly client = new ControlClient();
  private readonly directory = new RunDirectory();
  private readonly stop = new AbortController();
  private readonly site: SiteTemplate;
  private readonly scenario: Scenario;
  private readonly problems: string[] = [];
  private operators: Operators | undefined;
  private timers: NodeJS.Timeout[] = [];

  constructor(private readonly options: RunOptions) {
    if (options.logDirectory) mkdirSync(options.logDirectory, { recursive: true });
    this.launcher = new ProcessLauncher(options.logDirectory);
    this.site = SiteTemplate.load(options.scenario.tree);
    this.scenario = resolveNames(options.scenario, this.site);
  }

  /** Runs the scenario to its end; the caller disposes of the run afterwards. */
  async execute(): Promise<ExperimentDocument> {
    const stage = await this.start();
    const plan = this.plan(stage);
    const monitor = new FleetMonitor(this.client, () => stage.balancers.all);
    const sampler = this.sampler(stage, monitor);
    await this.startLoads(stage, (load) => load.from === 0);
    this.options.progress(`load runs: ${this.scenario.durationSeconds} s`);
    const startedAtMs = Date.now();
    const actions = new ActionRunner({ ...stage, site: this.site }, startedAtMs);
    monitor.start();
    sampler.start();
    this.timers.push(setInterval(() => void stage.loads.refresh(), CALLER_POLL_INTERVAL_MS));
    const acting = actions.run(plan, this.stop.signal);
    const loading = this.runLoads(stage, startedAtMs);
    await sleepUntil(startedAtMs + this.scenario.durationSeconds * MS_PER_SECOND, this.stop.signal);
    const endedAtMs = Date.now();
    this.options.progress('load ends: waiting for outstanding answers');
    await Promise.all([loading, acting]);
    await stage.loads.stopAll();
    monitor.stop();
    sampler.stop();
    return this.document(stage, { plan, startedAtMs, endedAtMs, actions: actions.record, monitor, sampler });
  }

  private sampler(stage: Stage, monitor: FleetMonitor): BackendSampler {
    return new BackendSampler(stage.backends, () => ({
      broken: stage.loads.reports().reduce((sum, report) => sum + report.flows.broken, 0),
      controlBytesPerSecond: median(monitor.controlRates()),
    }));
  }

  /** Collects the last reports, notes what is missing of them, and builds the result. */
  private async document(stage: Stage, observed: ObservedRun): Promise<ExperimentDocument> {
    if (!stage.loads.complete)
      this.problems.push('a caller did not give its final report: its counts are partial');
    if (observed.sampler.missedShare > MAX_MISSED_SHARE)
      this.problems.push(`${observed.sampler.missed} samples of the back ends were late`);
    const backends = await stage.backends.reports(REPORT_REQUEST_TIMEOUT_MS);
    if (!backends) this.problems.push('the back ends did not give their final report');
    return buildDocument({
      ...observed,
      scenario: this.scenario,
      seed: this.options.seed,
      mode: this.options.mode,
      balancers: stage.balancers,
      edits: stage.operators.edits,
      callers: stage.loads.reports(),
      backends,
      executions: await this.executions(stage),
      lostEdits: await this.lostEdits(stage.operators),
      problems: [...this.problems, ...this.launcher.unexpectedEnds],
    });
  }

  /** Stops every process and removes the run's files. */
  async dispose(): Promise<void> {
    this.stop.abort();
    this.timers.forEach((timer) => clearInterval(timer));
    await this.operators?.close();
    await this.launcher.stopAll();
    await this.client.close();
    this.directory.remove();
  }

  private async start(): Promise<Stage> {
    const { launcher, client, site, scenario, directory } = this;
    const { seed, mode, progress } = this.options;
    progress('starting stand-ins');
    const backends = new BackendProcesses({ launcher, client, site, scenario, seed });
    const [fabric] = await Promise.all([this.startFabric(), backends.start()]);
    const platformUrl = await this.startPlatform(backends);
    const platform = new PlatformControl(client, readEndpoint(platformUrl, 'platform'));
    const balancers = new BalancerFleet({
      launcher,
      client,
      directory,
      mode,
      platformUrl,
      platform: platform.endpoint,
      fabricControl: readEndpoint(fabric.control, 'fabric control'),
      fabricReturn: readEndpoint(fabric.balancerSide, 'fabric balancer side'),
    });
    await this.startBalancers(balancers);
    this.operators = new Operators(platformUrl, seed);
    const fabricSide = readEndpoint(fabric.callerSide, 'fabric caller side');
    const loads = new LoadProcesses({ launcher, client, fabric: fabricSide, seed });
    return { backends, platform, operators: this.operators, balancers, loads };
  }

  private startFabric() {
    const { loss, duplicate, reorder, reorderDelayMs, delayMs } = this.scenario.fabric;
    const flags = {
      seed: this.options.seed,
      'loss-share': loss,
      'duplicate-share': duplicate,
      'reorder-share': reorder,
      'reorder-delay-ms': reorderDelayMs,
      'one-way-delay-ms': delayMs,
    };
    const values = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, String(value)]);
    return this.launcher.start('fabric', ['standin', 'fabric', ...values]).ready();
  }

  private async startPlatform(backends: BackendProcesses): Promise<string> {
    const spare = new Set(this.scenario.topology.spareBackends);
    const serving = new Map([...backends.addresses].filter(([path]) => !spare.has(shortName(path))));
    const seedFile = this.directory.writeYaml('tree.yaml', { nodes: this.site.seedDocument(serving).nodes });
    const line = await this.launcher
      .start('platform', ['standin', 'platform', '--seed-tree', seedFile])
      .ready();
    return String(line.url);
  }

  private async startBalancers(balancers: BalancerFleet): Promise<void> {
    this.options.progress('starting balancers');
    for (let round = 0; round < this.scenario.topology.balancersPerZone; round += 1) {
      for (const zone of this.site.zones) await balancers.join(zone);
    }
    await balancers.waitUntilReady(balancers.all.map((balancer) => balancer.name));
  }

  private plan(stage: Stage): readonly PlainAction[] {
    const spare = new Set(this.scenario.topology.spareBackends);
    const names = this.site.backends.map((backend) => shortName(backend.name));
    const targets = {
      zones: this.site.zones,
      balancers: stage.balancers.all.map((balancer) => balancer.name),
      backends: names.filter((name) => !spare.has(name)),
      service: new ScenarioNames(this.site).service('main').name,
    };
    return planActions(this.scenario, targets, this.options.seed);
  }

  private async startLoads(stage: Stage, which: (load: LoadSettings) => boolean): Promise<void> {
    const names = new ScenarioNames(this.site);
    const due = this.scenario.load.filter(which);
    await Promise.all(due.map((load) => stage.loads.start(load, names.service(load.service))));
  }

  /** Starts the loads that begin later and stops those that end before the run. */
  private async runLoads(stage: Stage, startedAtMs: number): Promise<void> {
    await Promise.all(
      this.scenario.load.map(async (load) => {
        await sleepUntil(startedAtMs + load.from * MS_PER_SECOND, this.stop.signal);
        if (load.from > 0) await this.startLoads(stage, (candidate) => candidate === load);
        if (load.until === undefined) return;
        await sleepUntil(startedAtMs + load.until * MS_PER_SECOND, this.stop.signal);
        await stage.loads.stop(load);
      }),
    );
  }

  private async executions(stage: Stage): Promise<Executions> {
    const notRun = stage.loads.reports().flatMap((report) => report.notRunIds);
    try {
      const [ofNotRun, unrepeatable] = await Promise.all([
        stage.backends.executedOf(notRun),
        stage.backends.unrepeatableIds(),
      ]);
      return { ofNotRun, unrepeatable };
    } catch (error) {
      this.problems.push(
        `back ends did not say what they ran: ${error instanceof Error ? error.message : error}`,
      );
      return { ofNotRun: undefined, unrepeatable: undefined };
    }
  }

  /** Accepted edits that the stored history lacks; only as many as the history holds are looked for. */
  private async lostEdits(operators: Operators): Promise<number | undefined> {
    const accepted = operators.edits
      .filter((edit) => edit.outcome === 'accepted' && edit.message !== 'unchanged')
      .sort((left, right) => (left.version ?? 0) - (right.version ?? 0))
      .slice(-EDIT_HISTORY_LENGTH);
    if (accepted.length === 0) return 0;
    const stored = await operators.storedTokens();
    if (!stored) this.problems.push('the stored tree could not be read at the end: lost edits are not known');
    return stored && accepted.filter((edit) => !stored.has(edit.token)).length;
  }
}

function interruption(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    const fail = (): void =>
      reject(new ExperimentError('experiment.interrupted', 'the run was interrupted', 'Start it again'));
    if (signal.aborted) fail();
    else signal.addEventListener('abort', fail, { once: true });
  });
}

function timeLimit(limitMs: number, signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    const timer = setTimeout(() => {
      const message = `the run had not ended after ${limitMs / MS_PER_SECOND} s`;
      reject(new ExperimentError('experiment.time-limit', message, 'Look for a process that does not stop'));
    }, limitMs);
    timer.unref();
    signal.addEventListener('abort', () => clearTimeout(timer), { once: true });
  });
}
