import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { ControlBudget, MINIMUM_SHARE } from './budget.js';
import { CONTROL_KINDS, type ControlKind } from './types.js';

const RATE = 28_000;
const MESSAGE_BYTES = 200;
const SECONDS = 20;

/** Offers each kind `offeredShare` of the rate for SECONDS and returns the bytes a second that were let through. */
function runUnderLoad(kinds: readonly ControlKind[], offeredShare: number): Map<ControlKind, number> {
  const clock = new VirtualClock();
  const budget = new ControlBudget(clock, RATE);
  const sent = new Map<ControlKind, number>(kinds.map((kind) => [kind, 0]));
  const owed = new Map<ControlKind, number>(kinds.map((kind) => [kind, 0]));
  for (let step = 0; step < SECONDS * 100; step += 1) {
    clock.advance(10);
    for (const kind of kinds) {
      let bytes = Math.min(RATE, owed.get(kind)! + RATE * offeredShare * 0.01);
      while (bytes >= MESSAGE_BYTES && budget.take(kind, MESSAGE_BYTES)) {
        bytes -= MESSAGE_BYTES;
        sent.set(kind, sent.get(kind)! + MESSAGE_BYTES / SECONDS);
      }
      owed.set(kind, bytes);
    }
  }
  return sent;
}

test('the sum stays within the rate and one burst, and no kind starves', (t) => {
  const sent = runUnderLoad(CONTROL_KINDS, 1);
  const total = [...sent.values()].reduce((sum, bytes) => sum + bytes, 0);
  t.true(total <= RATE * (1 + 1.3 / SECONDS), `${total}`);
  t.true(total >= RATE * 0.95, `${total}`);
  for (const [kind, bytes] of sent) t.true(bytes >= RATE * MINIMUM_SHARE * 0.95, `${kind} ${bytes}`);
});

test('what waits first: status, health, dissemination, handover', (t) => {
  const order: ControlKind[] = ['status', 'health', 'dissemination', 'handover', 'membership'];
  for (let index = 0; index + 1 < order.length; index += 1) {
    const [waits, goes] = [order[index]!, order[index + 1]!];
    const sent = runUnderLoad([waits, goes], 0.8);
    t.true(sent.get(goes)! > 0.75 * RATE, `${goes} ${sent.get(goes)}`);
    t.true(sent.get(waits)! < 0.25 * RATE, `${waits} ${sent.get(waits)}`);
  }
});

test('one kind alone may use the whole rate', (t) => {
  t.true(runUnderLoad(['status'], 2).get('status')! >= RATE * 0.95);
});
