import test from 'ava';
import { ejectionsOverCap, judgePanic, type ServiceBackend } from './service-rules.js';
import type { BackendCondition } from './types.js';

function backends(...conditions: readonly (BackendCondition | number)[]): ServiceBackend[] {
  return conditions.map((condition, id) =>
    typeof condition === 'number'
      ? { id, condition: 'ejected', ejectedSinceMs: condition }
      : { id, condition, ejectedSinceMs: -Infinity },
  );
}

const CAPS: readonly (readonly [string, readonly ServiceBackend[], number, number[]])[] = [
  ['nothing ejected', backends('healthy', 'unhealthy'), 0.5, []],
  ['within the cap', backends(1, 2, 'healthy', 'healthy'), 0.5, []],
  ['the latest ejections are over it', backends(3, 1, 2, 'healthy'), 0.5, [0]],
  ['a tie keeps the order', backends(1, 1, 'healthy', 'healthy'), 0.3, [1]],
  ['one beside another back end', backends(1, 'healthy'), 0.1, []],
  ['none of a single back end', backends(1), 0.3, [0]],
  ['none at a share of 0', backends(1, 'healthy'), 0, [0]],
  ['draining ones do not count', backends(1, 'draining'), 0.5, [0]],
];
for (const [name, given, share, expected] of CAPS) {
  test(`cap on ejections: ${name}`, (t) => t.deepEqual(ejectionsOverCap(given, share), expected));
}

const PANICS = [
  ['at the limit', false, 10, 3, 0.3, false, 0.3],
  ['below the limit', false, 10, 2, 0.3, true, 0.2],
  ['at the limit during a panic', true, 10, 3, 0.3, true, 0.3],
  ['above the gap', true, 10, 4, 0.3, false, 0.4],
  ['all usable at a limit of 1', true, 10, 10, 1, false, 1],
  ['nothing in use', false, 0, 0, 0.3, false, 1],
] as const;
for (const [name, inPanic, inUse, usable, panicShare, panic, usableShare] of PANICS) {
  test(`panic: ${name}`, (t) => {
    t.deepEqual(judgePanic({ inPanic, inUse, usable, panicShare }), { panic, usableShare });
  });
}
