import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { chooseBudgetSource, ControlBudget, MINIMUM_SHARE, type BudgetSource } from './budget.js';
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

/** Kind, bytes, bytes left in the shared bucket of 1,000 and in the kind's own. */
const CHOICES: readonly (readonly [string, ControlKind, number, number, number, BudgetSource])[] = [
  ['membership empties the shared bucket', 'membership', 200, 200, 500, 'shared'],
  ['replication too', 'replication', 200, 200, 500, 'shared'],
  ['the floor itself may remain', 'status', 200, 800, 500, 'shared'],
  ['below the floor the own bucket pays', 'status', 200, 799, 200, 'own'],
  ['the own bucket is short', 'status', 200, 799, 199, 'wait'],
  ['where status waits, health goes on', 'health', 200, 799, 0, 'shared'],
  ['where health waits, dissemination goes on', 'dissemination', 200, 649, 0, 'shared'],
  ['where dissemination waits, handover goes on', 'handover', 200, 499, 0, 'shared'],
  ['where handover waits, membership goes on', 'membership', 200, 349, 0, 'shared'],
  ['health waits', 'health', 200, 649, 0, 'wait'],
  ['dissemination waits', 'dissemination', 200, 499, 0, 'wait'],
  ['handover waits', 'handover', 200, 349, 0, 'wait'],
  ['membership waits', 'membership', 200, 199, 199, 'wait'],
];

for (const [name, kind, bytes, sharedBytes, ownBytes, source] of CHOICES) {
  test(`bucket: ${name}`, (t) => {
    t.is(chooseBudgetSource(kind, bytes, { sharedBytes, sharedCapacityBytes: 1_000, ownBytes }), source);
  });
}
