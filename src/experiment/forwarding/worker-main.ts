/** Entry of the worker processes: serves the orders of its role until the parent goes. */
import { startBareRelay } from './bare-relay.js';
import { PacketSender } from './packet-sender.js';
import { PacketSink } from './packet-sink.js';
import type { WorkerOrders, WorkerReady, WorkerRole } from './types.js';
import type { ChannelMessage } from './worker-channel.js';

type Handlers = {
  [Kind in keyof WorkerOrders]?: (
    order: WorkerOrders[Kind]['order'],
  ) => WorkerOrders[Kind]['answer'] | Promise<WorkerOrders[Kind]['answer']>;
};

async function startRole(role: WorkerRole): Promise<{ ready: WorkerReady; handlers: Handlers }> {
  switch (role.role) {
    case 'sender': {
      const sender = await PacketSender.start();
      return {
        ready: { data: sender.endpoint },
        handlers: {
          open: (order) => sender.open(order),
          send: (order) => sender.send(order),
          stop: () => sender.stop(),
        },
      };
    }
    case 'sink': {
      const sink = await PacketSink.start();
      return {
        ready: { data: sink.data, health: sink.health },
        handlers: { count: () => sink.count(), opened: () => sink.opened() },
      };
    }
    case 'bare-relay':
      return { ready: { data: (await startBareRelay(role.sinks)).data }, handlers: {} };
  }
}

const { ready, handlers } = await startRole(JSON.parse(process.argv[2] ?? '{}') as WorkerRole);
process.on('disconnect', () => process.exit(0));
process.on('message', (message: ChannelMessage) => {
  const handler = handlers[message.kind] as ((body: unknown) => unknown) | undefined;
  void Promise.resolve(handler?.(message.body)).then((body) => process.send?.({ ...message, body }));
});
process.send?.(ready);
