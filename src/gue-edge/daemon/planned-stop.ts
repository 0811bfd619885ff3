/**
 * The planned stop of a balancer: it leaves, hands its flows over and relays until no packet arrives.
 *
 * What the order prevents: that flows are lost. The heirs are counted before the leave is announced, while the view
 * still shows them all; the leave comes before the hand-over, because it makes the others owners of the shards; the
 * wait comes last, because the fabric and the back ends send to this balancer until they have turned away.
 *
 * Owns nothing. Relies on the membership view, the flow keeper's hand-over and the count of packets received.
 */
import type { Components } from './components.js';
import type { DaemonConfig } from './config.js';
import { HANDOVER_TIMEOUT_MS } from './constants.js';
import { waitUntilQuiet } from '../../common/drain.js';
import { DAEMON_EVENTS } from './events.js';
import type { Member } from '../membership/index.js';

/** Announces the leave, hands over and waits for quiet. Packets are relayed to the new keepers until it resolves. */
export async function leaveAndHandOver(components: Components, drain: DaemonConfig['drain']): Promise<void> {
  const { clock, events, gate, controlPlane, identity } = components;
  const canHandOver = hasHeirs(identity.id, controlPlane.membership.view().members);
  controlPlane.membership.leave();
  if (!canHandOver) {
    events.emit(DAEMON_EVENTS.noHeir, { openFlows: components.dataPlane.forwarder.statistics().open });
    return;
  }
  await handOver(components);
  const { quietMs, maxMs } = drain;
  const quiet = await waitUntilQuiet({ clock, quietMs, maxMs, packetsReceived: () => gate.packetsReceived });
  if (!quiet) events.emit(DAEMON_EVENTS.drainTimedOut, { maxMs });
}

/** A member of the view, as far as it matters here. */
type Heir = Pick<Member, 'id' | 'state'>;

/** True when another member can take over the shards of `selfId`: an active one, also while it is suspected. */
export function hasHeirs(selfId: string, members: readonly Heir[]): boolean {
  return members.some(({ id, state }) => id !== selfId && (state === 'active' || state === 'suspect'));
}

/** True when a hand-over left nothing behind: neither own flows nor replicas without a holder. */
export function isHandedOver({ left, replicasLeft }: { left: number; replicasLeft: number }): boolean {
  return left + replicasLeft === 0;
}

async function handOver({ clock, events, dataPlane }: Components): Promise<void> {
  const timeout = new AbortController();
  const timer = clock.schedule(HANDOVER_TIMEOUT_MS, () => timeout.abort());
  const report = await dataPlane.forwarder.handOver(timeout.signal);
  timer.cancel();
  events.emit(isHandedOver(report) ? DAEMON_EVENTS.handedOver : DAEMON_EVENTS.handoverIncomplete, {
    ...report,
  });
}
