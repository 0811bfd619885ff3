/** What other back ends at its address mean for a back end: the rule, case by case. */
import test from 'ava';
import type { KnownBackend } from '../routing/index.js';
import { backendAt } from '../routing/routing-test-support.js';
import { decideStanding, type AddressStanding } from './address-reuse.js';

const NEVER = Number.NEGATIVE_INFINITY;
const DEPARTED_AT_MS = 20_000;
const EARLY = 10;
const LATE = 20;

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
  readonly others: readonly KnownBackend[];
  readonly lastSignOfLifeMs?: number;
  readonly knowsCreations?: boolean;
  readonly standing: AddressStanding;
}

const CASES: readonly Case[] = [
  { title: 'alone', backend: recorded('a', EARLY), others: [], standing: 'undisputed' },
  {
    title: 'the later of two that are recorded',
    backend: recorded('a', LATE),
    others: [recorded('b', EARLY)],
    standing: 'undisputed',
  },
  {
    title: 'the earlier of two that are recorded: the record of the other may be a late one',
    backend: recorded('a', EARLY),
    others: [recorded('b', LATE)],
    standing: 'disputed',
  },
  {
    title: 'recorded beside one that left, although that one was created later',
    backend: recorded('a', EARLY),
    others: [departed('b', LATE)],
    standing: 'undisputed',
  },
  {
    title: 'left, beside a later one',
    backend: departed('a', EARLY),
    others: [recorded('b', LATE)],
    standing: 'superseded',
  },
  {
    title: 'left, beside a later one that left as well',
    backend: departed('a', EARLY),
    others: [departed('b', LATE)],
    standing: 'superseded',
  },
  {
    title: 'left, beside an earlier one that is recorded: its record was created anew',
    backend: departed('a', LATE),
    others: [recorded('b', EARLY)],
    standing: 'disputed',
  },
  {
    title: 'lapsed, beside a later one',
    backend: departed('a', EARLY, true),
    others: [recorded('b', LATE)],
    standing: 'disputed',
  },
  {
    title: 'left, with a sign of life since',
    backend: departed('a', EARLY),
    others: [recorded('b', LATE)],
    lastSignOfLifeMs: DEPARTED_AT_MS + 1,
    standing: 'disputed',
  },
  {
    title: 'left, with a sign of life before',
    backend: departed('a', EARLY),
    others: [recorded('b', LATE)],
    lastSignOfLifeMs: DEPARTED_AT_MS,
    standing: 'superseded',
  },
  {
    title: 'left, beside a later one, at a daemon that has not learnt how long they were known',
    backend: departed('a', EARLY),
    others: [recorded('b', LATE)],
    knowsCreations: false,
    standing: 'disputed',
  },
  {
    title: 'created in the same revision as another: both may be of an earlier epoch',
    backend: departed('a', EARLY),
    others: [departed('b', EARLY)],
    standing: 'undisputed',
  },
  {
    title: 'left, beside an earlier and a later one',
    backend: departed('a', EARLY),
    others: [recorded('b', EARLY - 1), departed('c', LATE)],
    standing: 'superseded',
  },
];

for (const { title, backend, others, standing, ...more } of CASES) {
  test(`${title}: ${standing}`, (t) => {
    for (const sharing of [
      [backend, ...others],
      [...others, backend],
    ]) {
      const request = { lastSignOfLifeMs: NEVER, knowsCreations: true, ...more };
      t.is(decideStanding({ backend, sharing, ...request }).standing, standing);
    }
  });
}
