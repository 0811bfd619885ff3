/**
 * Faults on demand for experiments: messages to and from chosen balancers are lost, as in a network partition. Only a
 * daemon started with `--enable-fault-injection` has them.
 *
 * Owns the blocked addresses. Relies on wrapping the ports of the control and the data path; without it nothing is
 * wrapped.
 */
import { z } from 'zod';
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import type { ControlChannel } from '../control/types.js';
import type { EdgePort } from '../../fabric/types.js';

const faultsSchema = z.strictObject({
  /** Control and data addresses of the balancers that cannot be reached, as `host:port`; replaces the last list. */
  blocked: z.array(z.string()),
});

/** Loses what goes to or comes from blocked addresses. */
export class FaultInjection {
  private blocked: ReadonlySet<string> = new Set();

  /** Sets the faults from a request's JSON body. Throws a `ZodError` when it is not one. */
  set(body: unknown): void {
    this.blocked = new Set(faultsSchema.parse(body).blocked);
  }

  /** A channel that loses messages to and from blocked addresses. */
  wrapControl(channel: ControlChannel): ControlChannel {
    return {
      send: (to, kind, payload) => this.isBlocked(to) || channel.send(to, kind, payload),
      handle: (kind, handler) =>
        channel.handle(kind, (message) => {
          if (!this.isBlocked(message.from)) handler(message);
        }),
      availableBytesPerSecond: () => channel.availableBytesPerSecond(),
    };
  }

  /** An edge that loses packets relayed to blocked addresses. Packets of the fabric and of back ends pass. */
  wrapEdge(edge: EdgePort): EdgePort {
    return {
      sendToBackend: (packet, backend) => edge.sendToBackend(packet, backend),
      relay: (packet, balancer) => {
        if (!this.isBlocked(balancer)) edge.relay(packet, balancer);
      },
      sendReset: (packet) => edge.sendReset(packet),
      retain: (packet) => edge.retain(packet),
      close: () => edge.close(),
    };
  }

  private isBlocked(endpoint: Endpoint): boolean {
    return this.blocked.size > 0 && this.blocked.has(formatEndpoint(endpoint));
  }
}
