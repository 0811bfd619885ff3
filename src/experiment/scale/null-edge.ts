/** Edge of a hollow daemon: back ends answer every opening at once, nothing leaves the process. */
import type { Endpoint } from '../../common/types.js';
import type { EdgePort, PacketView } from '../../fabric/types.js';

/** Takes a back end's answer to an opening. */
export type AnswerHandler = (packet: PacketView, from: Endpoint) => void;

export class NullEdge implements EdgePort {
  /** Packets that would have gone to back ends, to other balancers, and resets. */
  toBackends = 0;
  relayed = 0;
  resets = 0;
  onAnswer: AnswerHandler = () => undefined;

  sendToBackend(packet: PacketView, backend: Endpoint): void {
    this.toBackends += 1;
    if (!packet.syn) return;
    this.onAnswer(answerTo(packet), backend);
  }

  relay(): void {
    this.relayed += 1;
  }

  sendReset(): void {
    this.resets += 1;
  }

  retain(packet: PacketView): PacketView {
    return { ...packet };
  }

  async close(): Promise<void> {}
}

function answerTo(packet: PacketView): PacketView {
  return {
    ...packet,
    sourceAddress: packet.destinationAddress,
    destinationAddress: packet.sourceAddress,
    sourcePort: packet.destinationPort,
    destinationPort: packet.sourcePort,
    ack: true,
  };
}
