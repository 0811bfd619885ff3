/**
 * Binds the sockets of a daemon and wires its components; the order of start stands here.
 *
 * Owns the order in which sockets are bound and components made. Relies on every part of the GUE edge; decides nothing.
 */
import { UdpControlChannel } from '../control/index.js';
import { AdminServer, type AdminSource } from '../../observability/index.js';
import { createStoreClient, type ConnectedStoreClient } from '../../store/index.js';
import type { Components, DaemonEnvironment, DaemonSockets } from './components.js';
import type { DaemonConfig } from './config.js';
import { createControlPlane, type BalancerIdentity } from './control-plane.js';
import { bindEdge, EdgeGate, KnownSources, startDataPlane } from './data-plane.js';
import { DAEMON_EVENTS } from './events.js';
import { LimitGuard } from './limit-guard.js';
import { processStatus } from './status-source.js';

const BYTES_PER_MEGABYTE = 1_048_576;

/** What the wiring needs besides the configuration. */
interface WiringOptions {
  readonly environment: DaemonEnvironment;
  /** What the admin address shows; asked only once the components exist. */
  readonly adminSource: AdminSource;
  /** Limits in force, which a reread of the configuration may change. */
  readonly limits: () => DaemonConfig['limits'];
  /** Ends the data path. */
  readonly signal: AbortSignal;
}

/** Binds admin, control and data sockets, wires everything, starts the data path and joins the region. */
export async function wireDaemon(config: DaemonConfig, options: WiringOptions): Promise<Components> {
  const { environment, limits, signal } = options;
  const { clock, random, events, faults } = environment;
  const sources = new KnownSources(config.id);
  const incarnation = clock.wall();
  const sockets = await bindSockets(config, options, sources, incarnation);
  const { gate } = sockets;
  const control = faults?.wrapControl(sockets.control) ?? sockets.control;
  const edge = faults?.wrapEdge(sockets.edge) ?? sockets.edge;
  const identity = identify(config, sockets, incarnation);
  const platform = connectPlatform(config, environment);
  const load = { openFlows: (id: number): number => gate.forwarder?.openFlows(id) ?? 0 };
  const common = { clock, random, events, control };
  const controlPlane = createControlPlane({ ...common, identity, platform, seeds: config.seeds, load });
  const { membership, settings, health } = controlPlane;
  const memory = createMemoryGuard(environment, limits);
  const memoryExceeded = (): boolean => memory.exceeded();
  const path = { ...common, config, edge, gate, sources, limits, memoryExceeded };
  const dataPlane = startDataPlane({ ...path, membership, settings, health }, signal);
  const flows = createFlowGuard(environment, limits, () => dataPlane.forwarder.statistics().open);
  const guards = [memory, flows];
  guards.forEach((guard) => guard.start());
  controlPlane.start();
  return { ...environment, ...sockets, identity, platform, controlPlane, dataPlane, guards };
}

async function bindSockets(
  config: DaemonConfig,
  { environment, adminSource }: WiringOptions,
  sources: KnownSources,
  incarnation: number,
): Promise<DaemonSockets> {
  const { clock, events } = environment;
  const gate = new EdgeGate();
  const admin = await AdminServer.listen(config.admin, adminSource);
  try {
    const control = await openControl(config, environment, incarnation);
    try {
      return { admin, control, edge: await bindEdge({ config, sources, gate, events, clock }), gate };
    } catch (error) {
      await control.close();
      throw error;
    }
  } catch (error) {
    await admin.close();
    throw error;
  }
}

async function openControl(
  config: DaemonConfig,
  { clock, events }: DaemonEnvironment,
  incarnation: number,
): Promise<UdpControlChannel> {
  const opened = await UdpControlChannel.open({
    bind: config.control,
    memberId: config.id,
    incarnation,
    keyFile: config.clusterKeyFile,
    clock,
    events,
    budgetBytesPerSecond: config.controlBudgetBytesPerSecond,
  });
  if (opened.isErr) throw opened.error;
  return opened.value;
}

function identify(config: DaemonConfig, sockets: DaemonSockets, incarnation: number): BalancerIdentity {
  const { id, region, zone } = config;
  const { control, edge, admin } = sockets;
  return {
    id,
    region,
    zone,
    incarnation,
    control: control.endpoint,
    data: edge.endpoint,
    admin: admin.endpoint,
  };
}

function connectPlatform(
  { platform, id }: DaemonConfig,
  { clock, random, events }: DaemonEnvironment,
): ConnectedStoreClient | undefined {
  if (platform === undefined) return undefined;
  return createStoreClient({ baseUrl: platform, clock, random, events, caller: id });
}

function createMemoryGuard(
  { clock, events }: DaemonEnvironment,
  limits: WiringOptions['limits'],
): LimitGuard {
  return new LimitGuard({
    clock,
    events,
    measure: () => processStatus().residentBytes / BYTES_PER_MEGABYTE,
    limit: () => limits().maxMemoryMegabytes,
    reached: DAEMON_EVENTS.memoryLimit,
    recovered: DAEMON_EVENTS.memoryRecovered,
  });
}

/** Only reports: the flow keeper itself refuses openings at the limit. */
function createFlowGuard(
  { clock, events }: DaemonEnvironment,
  limits: WiringOptions['limits'],
  openFlows: () => number,
): LimitGuard {
  return new LimitGuard({
    clock,
    events,
    measure: openFlows,
    limit: () => limits().maxFlows,
    reached: DAEMON_EVENTS.flowLimit,
    recovered: DAEMON_EVENTS.flowsRecovered,
  });
}
