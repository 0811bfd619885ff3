/** Each state of a list of back ends, and what settles it. */
import test from 'ava';
import { SETTLED_PEER_MS, SETTLING_MS } from './constants.js';
import {
  decideSettlement,
  settlementReason,
  type BackendKnowledge,
  type SettlementInputs,
  type SettlementReason,
} from './settlement-rule.js';

const STARTED: SettlementInputs = {
  sinceFirstListMs: 10,
  recordsMayLapse: false,
  sinceSettledPeerMs: Number.POSITIVE_INFINITY,
  isRosterListed: false,
};

const CASES: readonly (readonly [
  string,
  Partial<SettlementInputs>,
  BackendKnowledge,
  SettlementReason | undefined,
])[] = [
  ['without a list', { sinceFirstListMs: undefined, sinceSettledPeerMs: 5 }, 'unknown', 'peer'],
  ['just after the first list', {}, 'settling', undefined],
  ['with a settled peer', { sinceSettledPeerMs: 60_000 }, 'settled', 'peer'],
  ['with all of the roster listed', { isRosterListed: true }, 'settled', 'roster'],
  ['just before the time', { sinceFirstListMs: SETTLING_MS - 1 }, 'settling', undefined],
  ['at the time', { sinceFirstListMs: SETTLING_MS }, 'settled', 'time'],
  [
    'in an outage, long after its start',
    { sinceFirstListMs: 600_000, recordsMayLapse: true },
    'settling',
    'time',
  ],
  [
    'that only itself lost the source',
    { sinceFirstListMs: 600_000, recordsMayLapse: true, sinceSettledPeerMs: SETTLED_PEER_MS - 1 },
    'settled',
    'peer',
  ],
  [
    'in an outage that its peers have noticed by now',
    { sinceFirstListMs: 600_000, recordsMayLapse: true, sinceSettledPeerMs: SETTLED_PEER_MS },
    'settling',
    'peer',
  ],
];

for (const [name, change, state, reason] of CASES) {
  test(`the list of a daemon ${name} is ${state}`, (t) => {
    t.is(decideSettlement({ ...STARTED, ...change }), state);
    t.is(settlementReason({ ...STARTED, ...change }), reason);
  });
}
