/** Baseline: plain rendezvous over the back ends that are eligible now; no state, each balancer alone. */
import type { PacketView } from '../../../fabric/types.js';
import { firstChoice } from '../../placement/weighted-rendezvous.js';
import type { EffectiveBackend, EffectiveService } from '../../../settings/types.js';
import { BaselineForwarder } from './baseline-forwarder.js';

/** Sends each packet where the hash of its flow points at this moment. */
export class RendezvousForwarder extends BaselineForwarder {
  handlePacket(packet: PacketView): void {
    const service = this.services.find(packet.destinationAddress, packet.destinationPort)?.service;
    if (!service) return this.refuse(packet, 'no-service');
    this.fingerprintForward(packet);
    const backend = firstChoice(this.fingerprint, this.eligible(service));
    if (!backend) return this.refuse(packet, 'no-eligible-backend');
    if (packet.syn && !packet.ack) this.counters.opened += 1;
    this.components.edge.sendToBackend(packet, backend.endpoint);
  }

  handleReturn(): boolean {
    return false;
  }

  private eligible(service: EffectiveService): readonly EffectiveBackend[] {
    const { health } = this.components;
    return service.backends.filter((backend) => !backend.draining && health.health(backend.id).eligible);
  }
}
