/** The planned stop of a balancer: it leaves, hands its flows over and relays until no packet arrives. */
import type { Components } from './components.js';
import type { DaemonConfig } from './config.js';
import { HANDOVER_TIMEOUT_MS } from './constants.js';
import { waitUntilQuiet } from '../../common/drain.js';
import { DAEMON_EVENTS } from './events.js';

/** Announces the leave, hands over and waits for quiet. Packets are relayed to the new keepers until it resolves. */
export async function leaveAndHandOver(components: Components, drain: DaemonConfig['drain']): Promise<void> {
  const { clock, events, gate, controlPlane } = components;
  const hasHeirs = countOtherOwners(components) > 0;
  controlPlane.membership.leave();
  if (!hasHeirs) {
    events.emit(DAEMON_EVENTS.noHeir, { openFlows: components.dataPlane.forwarder.statistics().open });
    return;
  }
  await handOver(components);
  const { quietMs, maxMs } = drain;
  const quiet = await waitUntilQuiet({ clock, quietMs, maxMs, packetsReceived: () => gate.packetsReceived });
  if (!quiet) events.emit(DAEMON_EVENTS.drainTimedOut, { maxMs });
}

function countOtherOwners({ controlPlane, identity }: Components): number {
  const { members } = controlPlane.membership.view();
  return members.filter(({ id, state }) => id !== identity.id && (state === 'active' || state === 'suspect'))
    .length;
}

async function handOver({ clock, events, dataPlane }: Components): Promise<void> {
  const timeout = new AbortController();
  const timer = clock.schedule(HANDOVER_TIMEOUT_MS, () => timeout.abort());
  const report = await dataPlane.forwarder.handOver(timeout.signal);
  timer.cancel();
  const complete = report.left + report.replicasLeft === 0;
  events.emit(complete ? DAEMON_EVENTS.handedOver : DAEMON_EVENTS.handoverIncomplete, { ...report });
}
