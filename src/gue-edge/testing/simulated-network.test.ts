import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { messageWireBytes } from '../control/envelope.js';
import { PausableClock } from './pausable-clock.js';
import {
  SimulatedNetwork,
  type SimulatedChannel,
  type SimulatedNetworkOptions,
} from './simulated-network.js';

const MESSAGES = 1_000;

function setUp(faults: Partial<SimulatedNetworkOptions> = {}): {
  clock: VirtualClock;
  network: SimulatedNetwork;
  left: SimulatedChannel;
  right: SimulatedChannel;
  arrived: number[];
} {
  const clock = new VirtualClock();
  const network = new SimulatedNetwork({
    clock,
    random: seededRandom(1),
    delayMs: [1, 5],
    budgetBytesPerSecond: 1_000_000,
    ...faults,
  });
  const left = network.channel({ host: '10.0.0.1', port: 1 }, 'left', 1);
  const right = network.channel({ host: '10.0.0.2', port: 1 }, 'right', 1);
  const arrived: number[] = [];
  right.handle('status', (message) => arrived.push(message.payload[0]! * 256 + message.payload[1]!));
  return { clock, network, left, right, arrived };
}

function sendAll(left: SimulatedChannel, right: SimulatedChannel, count = MESSAGES): void {
  for (let index = 0; index < count; index += 1) {
    left.send(right.endpoint, 'status', Uint8Array.of(index >>> 8, index & 0xff));
  }
}

test('without faults everything arrives once, within the delay, reordered, at the real size', (t) => {
  const { clock, left, right, arrived } = setUp();
  sendAll(left, right);
  clock.advance(0.999);
  t.is(arrived.length, 0);
  clock.advance(4.001);
  const sorted = [...arrived].sort((first, second) => first - second);
  t.deepEqual(
    sorted,
    Array.from({ length: MESSAGES }, (_, index) => index),
  );
  t.notDeepEqual(arrived, sorted);
  t.is(right.meter().byKind.status.bytesIn, MESSAGES * messageWireBytes('left', 2));
});

test('loss and duplication happen at their rates', (t) => {
  for (const [faults, low, high] of [
    [{ lossRate: 0.2 }, 750, 850],
    [{ duplicateRate: 0.2 }, 1_150, 1_250],
    [{ lossRate: 1 }, 0, 0],
  ] as const) {
    const { clock, left, right, arrived } = setUp(faults);
    sendAll(left, right);
    clock.advance(10);
    t.true(arrived.length >= low && arrived.length <= high, `${JSON.stringify(faults)} ${arrived.length}`);
  }
});

test('a partition cuts both ways until it is healed', (t) => {
  const { clock, network, left, right, arrived } = setUp();
  network.partition(['left'], ['right', 'third']);
  sendAll(left, right, 10);
  clock.advance(10);
  t.is(arrived.length, 0);
  network.heal();
  sendAll(left, right, 10);
  clock.advance(10);
  t.is(arrived.length, 10);
});

test('a paused node receives and fires its timers when it goes on; a closed one never', (t) => {
  const { clock, left, right, arrived } = setUp();
  const nodeClock = new PausableClock(clock);
  const fired: string[] = [];
  nodeClock.schedule(5, () => fired.push('due'));
  nodeClock.schedule(5, () => fired.push('cancelled')).cancel();
  right.pause();
  nodeClock.pause();
  sendAll(left, right, 10);
  clock.advance(100);
  t.deepEqual(
    [arrived.length, fired.length, right.send(left.endpoint, 'status', Uint8Array.of(1))],
    [0, 0, false],
  );
  right.resume();
  nodeClock.resume();
  t.is(arrived.length, 10);
  t.deepEqual(fired, ['due']);
  right.close();
  sendAll(left, right, 10);
  clock.advance(10);
  t.is(arrived.length, 10);
});
