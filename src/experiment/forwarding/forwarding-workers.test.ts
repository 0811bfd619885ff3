import test from 'ava';
import { startBareRelay } from './bare-relay.js';
import { PacketSender } from './packet-sender.js';
import { PacketSink } from './packet-sink.js';

const FLOWS = [2_048, 2_049, 2_050].map((port) => ({ address: 0x0ac80001, port }));
/** So few that no socket buffer overflows when a stalled process catches up. */
const PACKETS_PER_SECOND = 200;
const PACKETS = 150;
const MAX_POLLS = 10_000;

async function until(condition: () => boolean): Promise<void> {
  for (let poll = 0; poll < MAX_POLLS && !condition(); poll += 1) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

test('packets of a sender pass the bare relay and are counted by the sink of their flow', async (t) => {
  const sinks = await Promise.all([PacketSink.start(), PacketSink.start()]);
  const sender = await PacketSender.start();
  const relay = await startBareRelay(sinks.map((sink) => sink.data));
  const target = relay.data;
  t.teardown(async () => {
    relay.close();
    sender.close();
    await Promise.all(sinks.map((sink) => sink.close()));
  });
  const opened = () => sinks.map((sink) => sink.opened().map(({ port }) => port));
  await sender.open({ target, flows: FLOWS });
  await until(() => opened().flat().length === FLOWS.length);
  t.deepEqual(opened(), [[2_048, 2_050], [2_049]]);
  t.true(sinks.every((sink) => sink.count().packets === 0));
  const received = () => sinks.map((sink) => sink.count().packets);
  await sender.send({ target, flows: FLOWS, packetsPerSecond: PACKETS_PER_SECOND, packetBytes: 200 });
  const lowest: number[] = [];
  await until(() => {
    lowest.push(sinks[1]!.count().p99Ms);
    return received()[1]! >= PACKETS / 3;
  });
  const sent = sender.stop();
  await until(() => received().reduce((sum, count) => sum + count) === sent);
  const [even = 0, odd = 0] = received();
  t.is(even + odd, sent);
  t.true(odd >= PACKETS / 3 && Math.abs(even - 2 * odd) <= FLOWS.length);
  t.true(Math.max(...lowest) > 0);
});
