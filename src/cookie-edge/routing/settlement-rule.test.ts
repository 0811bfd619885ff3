/** Checks each state of the list of back ends, and the condition that settles it. */
import test from 'ava';
import { SETTLED_PEER_MS, SETTLING_MS } from './constants.js';
import {
  decideSettlement,
  settlementReason,
  type BackendListState,
  type SettlementInputs,
  type SettlementReason,
} from './settlement-rule.js';

const JUST_STARTED: SettlementInputs = {
  sinceFirstListMs: 10,
  recordsMayLapse: false,
  sinceSettledPeerMs: Number.POSITIVE_INFINITY,
  isRosterListed: false,
};

const CASES: readonly (readonly [
  string,
  Partial<SettlementInputs>,
  BackendListState,
  SettlementReason | undefined,
])[] = [
  ['before its first list', { sinceFirstListMs: undefined, sinceSettledPeerMs: 5 }, 'unknown', 'peer'],
  ['just after the first list', {}, 'settling', undefined],
  ['that received a message from a settled peer', { sinceSettledPeerMs: 60_000 }, 'settled', 'peer'],
  ['with all of the roster listed', { isRosterListed: true }, 'settled', 'roster'],
  ['just before `SETTLING_MS`', { sinceFirstListMs: SETTLING_MS - 1 }, 'settling', undefined],
  ['at `SETTLING_MS`', { sinceFirstListMs: SETTLING_MS }, 'settled', 'time'],
  [
    'in an outage, long after its start',
    { sinceFirstListMs: 600_000, recordsMayLapse: true },
    'settling',
    'time',
  ],
  [
    'that lost the source while its peers did not',
    { sinceFirstListMs: 600_000, recordsMayLapse: true, sinceSettledPeerMs: SETTLED_PEER_MS - 1 },
    'settled',
    'peer',
  ],
  [
    'in an outage, `SETTLED_PEER_MS` after the last message from a settled peer',
    { sinceFirstListMs: 600_000, recordsMayLapse: true, sinceSettledPeerMs: SETTLED_PEER_MS },
    'settling',
    'peer',
  ],
];

for (const [name, overrides, state, reason] of CASES) {
  test(`the list of a daemon ${name} is ${state}`, (t) => {
    t.is(decideSettlement({ ...JUST_STARTED, ...overrides }), state);
    t.is(settlementReason({ ...JUST_STARTED, ...overrides }), reason);
  });
}
