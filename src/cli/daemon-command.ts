/** `sailquay daemon run`: one balancer in this process. */
import { Option, type Command } from 'commander';
import type { ConfigOverrides } from '../gue-edge/daemon/config.js';

/** Flags as commander names them. */
interface RunFlags {
  readonly config?: string;
  readonly id?: string;
  readonly region?: string;
  readonly zone?: string;
  readonly control?: string;
  readonly data?: string;
  readonly admin?: string;
  readonly fabricReturn?: string;
  readonly platform?: string;
  readonly seed?: string[];
  readonly clusterKeyFile?: string;
  readonly placement?: ConfigOverrides['placement'];
  readonly controlBudget?: number;
  readonly maxFlows?: number;
  readonly maxPendingOpenings?: number;
  readonly maxMemory?: number;
  readonly logFormat?: 'text' | 'json';
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error';
  readonly drainQuiet?: number;
  readonly drainMax?: number;
  readonly enableFaultInjection?: boolean;
}

const EXAMPLES = `
Flags go before the file, the file before defaults. The first line on stdout is JSON with the bound addresses:
  {"ready":true,"id":"balancer-1","control":"127.0.0.1:7100","data":"127.0.0.1:7200","admin":"127.0.0.1:7300","pid":1}

Signals: SIGTERM hands all flows over, then ends (a second one ends at once); SIGHUP reads file and keys again.

Examples:
  $ sailquay daemon run --config balancer-1.yaml
  $ sailquay daemon run --config common.yaml --id balancer-2 --zone halle-mitte --control 127.0.0.1:0
`;

/** Adds `daemon` to the program. */
export function registerDaemonCommand(program: Command): void {
  const daemon = program.command('daemon').description('run a balancer');
  daemon.addHelpText('after', '\nExample:\n  $ sailquay daemon run --config balancer-1.yaml\n');
  const run = daemon.command('run').description('run one balancer until SIGTERM');
  run
    .option('--config <file>', 'YAML configuration file')
    .option('--id <name>', 'name, unique in the region')
    .option('--region <name>', 'region of this balancer')
    .option('--zone <name>', 'zone of this balancer')
    .option('--control <ip:port>', 'UDP address of messages between balancers (port 0: chosen by the kernel)')
    .option('--data <ip:port>', 'UDP address of data packets')
    .option('--admin <ip:port>', 'HTTP address of /metrics, /livez, /readyz and /status')
    .option('--fabric-return <ip:port>', 'where packets for callers are sent')
    .option('--platform <url>', "base URL of the platform's object API")
    .option('--seed <ip:port...>', 'control addresses of other balancers of the region')
    .option('--cluster-key-file <file>', 'file with the cluster keys');
  run
    .addOption(new Option('--placement <mode>', 'placement mode').choices(PLACEMENT_MODES))
    .option('--control-budget <bytes/s>', 'control bytes sent a second at most', Number)
    .option('--max-flows <count>', 'flows kept at once at most', Number)
    .option('--max-pending-openings <count>', 'openings waiting for a backup at most', Number)
    .option('--max-memory <megabytes>', 'resident memory above which openings are refused', Number)
    .option('--drain-quiet <ms>', 'a stopping daemon ends after this long without a packet', Number)
    .option('--drain-max <ms>', 'a stopping daemon ends after this long in any case', Number)
    .option(
      '--enable-fault-injection',
      'take faults over PUT /faults on the admin address; for experiments only',
    )
    .addOption(new Option('--log-format <format>', 'log lines').choices(['text', 'json']))
    .addOption(new Option('--log-level <level>', 'least level').choices(['debug', 'info', 'warn', 'error']));
  run.addHelpText('after', EXAMPLES).action(async (flags: RunFlags) => {
    const { runDaemon } = await import('../gue-edge/daemon/run.js');
    process.exitCode = await runDaemon(flags.config, overridesOf(flags), {
      faultInjection: flags.enableFaultInjection ?? false,
    });
  });
}

const PLACEMENT_MODES = ['bounded-load', 'rendezvous', 'local-table', 'random', 'least-reported-load'];

function overridesOf(flags: RunFlags): ConfigOverrides {
  return {
    id: flags.id,
    region: flags.region,
    zone: flags.zone,
    control: flags.control,
    data: flags.data,
    admin: flags.admin,
    fabricReturn: flags.fabricReturn,
    platform: flags.platform,
    seeds: flags.seed,
    clusterKeyFile: flags.clusterKeyFile,
    placement: flags.placement,
    controlBudgetBytesPerSecond: flags.controlBudget,
    limits: definedGroup({
      maxFlows: flags.maxFlows,
      maxPendingOpenings: flags.maxPendingOpenings,
      maxMemoryMegabytes: flags.maxMemory,
    }),
    log: definedGroup({ format: flags.logFormat, level: flags.logLevel }),
    drain: definedGroup({ quietMs: flags.drainQuiet, maxMs: flags.drainMax }),
  };
}

/** The group, or undefined when none of its flags was given. */
function definedGroup<T extends object>(group: T): T | undefined {
  return Object.values(group).some((value) => value !== undefined) ? group : undefined;
}
