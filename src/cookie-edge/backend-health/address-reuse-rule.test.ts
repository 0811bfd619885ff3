/** Cases of the rule that decides the status of a back end that shares its address with others. */
import test from 'ava';
import type { KnownBackend } from '../routing/index.js';
import { backendAt } from '../routing/routing-test-support.js';
import { decideAddressStatus, type AddressStatus } from './address-reuse.js';

const NEVER = Number.NEGATIVE_INFINITY;
const DEPARTED_AT_MS = 20_000;
const EARLY_REVISION = 10;
const LATE_REVISION = 20;

function recordedBackend(id: string, createdRevision: number): KnownBackend {
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

function departedBackend(id: string, createdRevision: number, lapsed = false): KnownBackend {
  return { ...recordedBackend(id, createdRevision), departed: true, departedAtMs: DEPARTED_AT_MS, lapsed };
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
  {
    title: 'no other back end at the address',
    backend: recordedBackend('a', EARLY_REVISION),
    otherBackends: [],
    status: 'undisputed',
  },
  {
    title: 'recorded, with one created earlier that is recorded as well',
    backend: recordedBackend('a', LATE_REVISION),
    otherBackends: [recordedBackend('b', EARLY_REVISION)],
    status: 'undisputed',
  },
  {
    title: 'recorded, with one created later, whose record may have been written late',
    backend: recordedBackend('a', EARLY_REVISION),
    otherBackends: [recordedBackend('b', LATE_REVISION)],
    status: 'disputed',
  },
  {
    title: 'recorded, with a departed one that was created later',
    backend: recordedBackend('a', EARLY_REVISION),
    otherBackends: [departedBackend('b', LATE_REVISION)],
    status: 'undisputed',
  },
  {
    title: 'departed, with a recorded one that was created later',
    backend: departedBackend('a', EARLY_REVISION),
    otherBackends: [recordedBackend('b', LATE_REVISION)],
    status: 'superseded',
  },
  {
    title: 'departed, with a departed one that was created later',
    backend: departedBackend('a', EARLY_REVISION),
    otherBackends: [departedBackend('b', LATE_REVISION)],
    status: 'superseded',
  },
  {
    title: 'departed, with a recorded one that was created earlier',
    backend: departedBackend('a', LATE_REVISION),
    otherBackends: [recordedBackend('b', EARLY_REVISION)],
    status: 'disputed',
  },
  {
    title: 'lapsed, with a recorded one that was created later',
    backend: departedBackend('a', EARLY_REVISION, true),
    otherBackends: [recordedBackend('b', LATE_REVISION)],
    status: 'disputed',
  },
  {
    title: 'departed, with a sign of life since',
    backend: departedBackend('a', EARLY_REVISION),
    otherBackends: [recordedBackend('b', LATE_REVISION)],
    lastSignOfLifeMs: DEPARTED_AT_MS + 1,
    status: 'disputed',
  },
  {
    title: 'departed, with the last sign of life at its departure',
    backend: departedBackend('a', EARLY_REVISION),
    otherBackends: [recordedBackend('b', LATE_REVISION)],
    lastSignOfLifeMs: DEPARTED_AT_MS,
    status: 'superseded',
  },
  {
    title: 'departed, with one created later, before this daemon received the first creations from peers',
    backend: departedBackend('a', EARLY_REVISION),
    otherBackends: [recordedBackend('b', LATE_REVISION)],
    hasCreationHistory: false,
    status: 'disputed',
  },
  {
    title: 'departed, with one created in the same revision; both may be of an earlier epoch',
    backend: departedBackend('a', EARLY_REVISION),
    otherBackends: [departedBackend('b', EARLY_REVISION)],
    status: 'undisputed',
  },
  {
    title: 'departed, with one created earlier and one created later',
    backend: departedBackend('a', EARLY_REVISION),
    otherBackends: [recordedBackend('b', EARLY_REVISION - 1), departedBackend('c', LATE_REVISION)],
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
