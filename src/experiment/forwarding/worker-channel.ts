/** Starts worker processes and exchanges orders with them; a worker ends when its parent does. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import type { WorkerOrders, WorkerReady, WorkerRole } from './types.js';

/** Extension of the running code: `.ts` under tsx, `.js` from the build. */
const EXTENSION = import.meta.url.endsWith('.ts') ? '.ts' : '.js';
const WORKER_FILE = fileURLToPath(new URL(`./worker-main${EXTENSION}`, import.meta.url));

/** An order or its answer on the channel. */
export interface ChannelMessage {
  readonly sequence: number;
  readonly kind: keyof WorkerOrders;
  readonly body: unknown;
}

/** A running worker. */
export class Worker {
  private readonly waiting = new Map<number, (answer: unknown) => void>();
  private nextSequence = 1;

  private constructor(
    private readonly child: ChildProcess,
    readonly ready: WorkerReady,
  ) {
    child.on('message', (message) => this.receive(message as ChannelMessage));
  }

  static async start(role: WorkerRole): Promise<Worker> {
    const child = fork(WORKER_FILE, [JSON.stringify(role)], { execArgv: process.execArgv });
    const [ready] = (await once(child, 'message')) as [WorkerReady];
    return new Worker(child, ready);
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  ask<Kind extends keyof WorkerOrders>(
    kind: Kind,
    body: WorkerOrders[Kind]['order'],
  ): Promise<WorkerOrders[Kind]['answer']> {
    const sequence = this.nextSequence;
    this.nextSequence += 1;
    return new Promise((resolve) => {
      this.waiting.set(sequence, resolve as (answer: unknown) => void);
      this.child.send({ sequence, kind, body });
    });
  }

  async end(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    const ended = once(this.child, 'exit');
    this.child.disconnect();
    await ended;
  }

  private receive(message: ChannelMessage): void {
    this.waiting.get(message.sequence)?.(message.body);
    this.waiting.delete(message.sequence);
  }
}
