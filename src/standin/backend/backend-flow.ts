/** One flow at a back end: its connection, and the requests that come by it. */
import type { Clock } from '../../common/clock.js';
import type { Endpoint } from '../../common/types.js';
import type { Segment } from '../../fabric/index.js';
import type { AnswerMessage, CallerMessage, RequestMessage } from '../common/messages.js';
import { encodeMessage, MessageReader, SegmentConnection } from '../segment-connection/index.js';
import type { RequestRunner } from './request-runner.js';

/** What a flow needs of its back end. */
export interface FlowHost {
  readonly name: string;
  readonly service: string;
  readonly clock: Clock;
  readonly runner: RequestRunner;
  readonly retryAfterMs: number;
  readonly answerPadding: string;
  readonly giveUpMs: number;
  send(packet: Buffer, to: Endpoint): void;
  onShed(): void;
  onNotRun(): void;
  onFlowEnded(flow: BackendFlow): void;
}

/** What opens a flow. */
interface FlowOpening {
  readonly syn: Segment;
  /** First sequence number of the back end's side. */
  readonly initialSequence: number;
  /** The balancer that the SYN came by. */
  readonly from: Endpoint;
}

/** A flow; answers go to the balancer that its last packet came by. */
export class BackendFlow {
  private readonly reader = new MessageReader<CallerMessage>();
  private readonly connection: SegmentConnection;
  /** The balancer that the last packet came by. */
  private replyTo: Endpoint;
  private unfinished = 0;
  private peerClosed = false;

  constructor(
    private readonly host: FlowHost,
    /** Key of the flow in its back end's table. */
    readonly key: string,
    { syn, initialSequence, from }: FlowOpening,
  ) {
    this.replyTo = from;
    this.connection = SegmentConnection.accept(
      {
        local: { address: syn.destinationAddress, port: syn.destinationPort },
        remote: { address: syn.sourceAddress, port: syn.sourcePort },
        clock: host.clock,
        initialSequence,
        giveUpMs: host.giveUpMs,
        transmit: (packet) => host.send(packet, this.replyTo),
        listener: {
          onData: (bytes) => this.takeBytes(bytes),
          onPeerClosed: () => this.endWhenAnswered(true),
          onClosed: () => this.end(),
          onFailed: () => this.end(),
        },
      },
      syn,
    );
  }

  get closed(): boolean {
    return this.connection.state === 'closed';
  }

  receive(segment: Segment, from: Endpoint): void {
    this.replyTo = from;
    this.connection.receive(segment);
  }

  /** Forgets the flow silently. */
  discard(): void {
    this.connection.discard();
  }

  private takeBytes(bytes: Buffer): void {
    for (const message of this.reader.push(bytes)) {
      if (message?.kind === 'request') this.takeRequest(message);
      else if (message?.kind === 'cancel') this.host.runner.cancel(this, message.id);
    }
  }

  private takeRequest(request: RequestMessage): void {
    this.unfinished += 1;
    this.host.runner.submit({
      request,
      owner: this,
      onDone: () => this.answer(request, { outcome: 'done', padding: this.host.answerPadding }),
      onNotRun: (reason) => {
        if (reason === 'shed') this.host.onShed();
        else this.host.onNotRun();
        this.answer(request, { outcome: 'not-run', reason, retryAfterMs: this.host.retryAfterMs });
      },
    });
  }

  private answer(
    request: RequestMessage,
    result: Pick<AnswerMessage, 'outcome' | 'reason' | 'retryAfterMs' | 'padding'>,
  ): void {
    const { id, connection, number } = request;
    const { service, name: backend } = this.host;
    const answer: AnswerMessage = { kind: 'answer', id, connection, number, service, backend, ...result };
    this.connection.write(encodeMessage(answer));
    this.unfinished -= 1;
    this.endWhenAnswered(this.peerClosed);
  }

  private endWhenAnswered(peerClosed: boolean): void {
    this.peerClosed = peerClosed;
    if (peerClosed && this.unfinished === 0) this.connection.close();
  }

  private end(): void {
    this.host.runner.abandon(this);
    this.host.onFlowEnded(this);
  }
}
