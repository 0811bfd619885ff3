import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { shutDown } from './shutdown.js';

const TIMES = { minMs: 1_300, quietMs: 400, maxMs: 3_000 };
const STEPS = ['leave', 'cancelTimers', 'stopReading', 'close'];

/** Runs a shutdown while a packet arrives every 50 ms until `lastPacketAtMs`; returns its steps and its duration. */
async function runShutdown(lastPacketAtMs: number): Promise<{ recordedSteps: string[]; durationMs: number }> {
  const clock = new VirtualClock();
  const startedMs = clock.now();
  const recordedSteps: string[] = [];
  const recordStep = (name: string) => (): void => void recordedSteps.push(name);
  const stopped = shutDown(TIMES, {
    clock,
    packetsReceived: () => Math.floor(Math.min(clock.now() - startedMs, lastPacketAtMs) / 50),
    onTimeout: recordStep('timeout'),
    leave: recordStep('leave'),
    cancelTimers: recordStep('cancelTimers'),
    stopReading: recordStep('stopReading'),
    close: () => Promise.resolve(recordStep('close')()),
  });
  let durationMs = Number.NaN;
  void stopped.then(() => (durationMs = clock.now() - startedMs));
  await clock.advanceAsync(4_000, 10);
  return { recordedSteps, durationMs };
}

const CASES = [
  { name: 'routers stop sending at once', lastPacketAtMs: 0, steps: STEPS, durationMs: 1_700 },
  { name: 'routers stop sending after a while', lastPacketAtMs: 2_000, steps: STEPS, durationMs: 2_400 },
  {
    name: 'routers never stop sending',
    lastPacketAtMs: 9_000,
    steps: ['timeout', ...STEPS],
    durationMs: 3_000,
  },
];

for (const { name, lastPacketAtMs, steps, durationMs } of CASES) {
  test(`${name}: ${steps.join(', ')} after ${durationMs} ms`, async (t) => {
    const result = await runShutdown(lastPacketAtMs);
    t.deepEqual(result.recordedSteps, steps);
    t.true(Math.abs(result.durationMs - durationMs) <= 100, `${result.durationMs} ms`);
  });
}
