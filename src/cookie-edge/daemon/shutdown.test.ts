import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { shutDown } from './shutdown.js';

const TIMES = { minMs: 1_300, quietMs: 400, maxMs: 3_000 };
const STEPS = ['leave', 'cancelTimers', 'stopReading', 'close'];

/** Runs a shutdown while a packet arrives every 50 ms until `lastPacketAtMs`; returns its steps and its duration. */
async function runShutdown(lastPacketMs: number): Promise<{ names: string[]; endedMs: number }> {
  const clock = new VirtualClock();
  const startedMs = clock.now();
  const names: string[] = [];
  const recordStep = (name: string) => (): void => void names.push(name);
  const stopped = shutDown(TIMES, {
    clock,
    packetsReceived: () => Math.floor(Math.min(clock.now() - startedMs, lastPacketMs) / 50),
    onTimeout: recordStep('timeout'),
    leave: recordStep('leave'),
    cancelTimers: recordStep('cancelTimers'),
    stopReading: recordStep('stopReading'),
    close: () => Promise.resolve(recordStep('close')()),
  });
  let endedMs = Number.NaN;
  void stopped.then(() => (endedMs = clock.now() - startedMs));
  await clock.advanceAsync(4_000, 10);
  return { names, endedMs };
}

const CASES = [
  { name: 'routers stop sending at once', lastPacketMs: 0, steps: STEPS, endedMs: 1_700 },
  { name: 'routers stop sending after a while', lastPacketMs: 2_000, steps: STEPS, endedMs: 2_400 },
  { name: 'routers never stop sending', lastPacketMs: 9_000, steps: ['timeout', ...STEPS], endedMs: 3_000 },
];

for (const { name, lastPacketMs, steps, endedMs } of CASES) {
  test(`${name}: ${steps.join(', ')} after ${endedMs} ms`, async (t) => {
    const result = await runShutdown(lastPacketMs);
    t.deepEqual(result.names, steps);
    t.true(Math.abs(result.endedMs - endedMs) <= 100, `${result.endedMs} ms`);
  });
}
