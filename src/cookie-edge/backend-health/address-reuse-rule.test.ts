/** What other back ends at its address mean for a back end: the rule, case by case. */
import test from 'ava';
import type { KnownBackend } from '../routing/index.js';
import { backendAt } from '../routing/routing-test-support.js';
import { decideAddressStatus, type AddressStatus } from './address-reuse.js';

const NEVER = Number.NEGATIVE_INFINITY;
const DEPARTED_AT_MS = 20_000;
const EARLY_REVISION = 10;
const LATE_REVISION = 20;

function recorded(id: string, createdRevision: number): KnownBackend {
  return {
    id,
    record: backendAt(id, createdRevision),
    departed: false,
    lapsed: false,
    removedRevision: -1,
    departedAtMs: undefined,
    coldUntilMs: 0,
  };
}

function departed(id: string, createdRevision: number, lapsed = false): KnownBackend {
  return { ...recorded(id, createdRevision), departed: true, departedAtMs: DEPARTED_AT_MS, lapsed };
}

interface Case {
  readonly title: string;
  readonly backend: KnownBackend;
  readonly otherBackends: readonly KnownBackend[];
  readonly lastSignOfLifeMs?: number;
  readonly hasCreationHistory?: boolean;
  readonly status: AddressStatus;
}

const CASES: readonly Case[] = [
  { title: 'alone', backend: recorded('a', EARLY_REVISION), otherBackends: [], status: 'undisputed' },
  {
    title: 'the later of two that are recorded',
    backend: recorded('a', LATE_REVISION),
    otherBackends: [recorded('b', EARLY_REVISION)],
    status: 'undisputed',
  },
  {
    title: 'the earlier of two that are recorded: the record of the other may be a late one',
    backend: recorded('a', EARLY_REVISION),
    otherBackends: [recorded('b', LATE_REVISION)],
    status: 'disputed',
  },
  {
    title: 'recorded beside one that left, although that one was created later',
    backend: recorded('a', EARLY_REVISION),
    otherBackends: [departed('b', LATE_REVISION)],
    status: 'undisputed',
  },
  {
    title: 'left, beside a later one',
    backend: departed('a', EARLY_REVISION),
    otherBackends: [recorded('b', LATE_REVISION)],
    status: 'superseded',
  },
  {
    title: 'left, beside a later one that left as well',
    backend: departed('a', EARLY_REVISION),
    otherBackends: [departed('b', LATE_REVISION)],
    status: 'superseded',
  },
  {
    title: 'left, beside an earlier one that is recorded: its record was created anew',
    backend: departed('a', LATE_REVISION),
    otherBackends: [recorded('b', EARLY_REVISION)],
    status: 'disputed',
  },
  {
    title: 'lapsed, beside a later one',
    backend: departed('a', EARLY_REVISION, true),
    otherBackends: [recorded('b', LATE_REVISION)],
    status: 'disputed',
  },
  {
    title: 'left, with a sign of life since',
    backend: departed('a', EARLY_REVISION),
    otherBackends: [recorded('b', LATE_REVISION)],
    lastSignOfLifeMs: DEPARTED_AT_MS + 1,
    status: 'disputed',
  },
  {
    title: 'left, with a sign of life before',
    backend: departed('a', EARLY_REVISION),
    otherBackends: [recorded('b', LATE_REVISION)],
    lastSignOfLifeMs: DEPARTED_AT_MS,
    status: 'superseded',
  },
  {
    title: 'left, beside a later one, at a daemon that has not learnt how long they were known',
    backend: departed('a', EARLY_REVISION),
    otherBackends: [recorded('b', LATE_REVISION)],
    hasCreationHistory: false,
    status: 'disputed',
  },
  {
    title: 'created in the same revision as another: both may be of an earlier epoch',
    backend: departed('a', EARLY_REVISION),
    otherBackends: [departed('b', EARLY_REVISION)],
    status: 'undisputed',
  },
  {
    title: 'left, beside an earlier and a later one',
    backend: departed('a', EARLY_REVISION),
    otherBackends: [recorded('b', EARLY_REVISION - 1), departed('c', LATE_REVISION)],
    status: 'superseded',
  },
];

for (const { title, backend, otherBackends, status, ...overrides } of CASES) {
  test(`${title}: ${status}`, (t) => {
    for (const backendsAtAddress of [
      [backend, ...otherBackends],
      [...otherBackends, backend],
    ]) {
      const input = { lastSignOfLifeMs: NEVER, hasCreationHistory: true, ...overrides };
      t.is(decideAddressStatus({ backend, backendsAtAddress, ...input }).status, status);
    }
  });
}
