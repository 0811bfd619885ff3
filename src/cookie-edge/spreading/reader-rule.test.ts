import test from 'ava';
import { freshnessTimings } from '../routing/index.js';
import {
  FIRST_READS,
  READS_PER_SECOND,
  TARGET_READERS,
  VOLUNTEER_NO_READER_MS,
  VOLUNTEER_AT_START_MS,
  VOLUNTEER_ONE_READER_MS,
} from './constants.js';
import { decideReaderRole, type ReaderOutcome, type ReaderSituation } from './reader-rule.js';

const TIMINGS = freshnessTimings(3_000);
const CURRENT: ReaderSituation = {
  isReading: false,
  ageMs: 100,
  unconfirmedMs: 100,
  isComplete: true,
  hasBeenRead: true,
  otherReaders: TARGET_READERS,
  freshHigherRanked: TARGET_READERS,
  hasSeenOtherReaders: true,
  overduePosition: 1,
  daemons: 1,
  lacksAnnouncedChange: false,
  canStandDown: true,
  isPaced: true,
};
const READER: Partial<ReaderSituation> = { isReading: true };
const OVERDUE = { ageMs: TIMINGS.readAfterMs, unconfirmedMs: TIMINGS.readAfterMs };
const LONG_OVERDUE_MS = TIMINGS.readAfterMs + TIMINGS.readSpreadMs;

const CASES: readonly (readonly [string, Partial<ReaderSituation>, ReaderOutcome])[] = [
  ['a reader that enough fresh readers outrank', READER, { kind: 'stand-down' }],
  [
    'a reader that too few outrank',
    { ...READER, freshHigherRanked: TARGET_READERS - 1 },
    { kind: 'keep-reading' },
  ],
  ['a reader that is not current', { ...READER, ageMs: TIMINGS.pullAfterMs }, { kind: 'keep-reading' }],
  ['a reader without both lists', { ...READER, isComplete: false }, { kind: 'keep-reading' }],
  ['a reader with standing down switched off', { ...READER, canStandDown: false }, { kind: 'keep-reading' }],
  ['enough other daemons read', {}, { kind: 'leave-to-others' }],
  ['the first lists are missing', { hasBeenRead: false, otherReaders: 0 }, { kind: 'await-first-lists' }],
  ['overdue, first of many', { ...OVERDUE, overduePosition: 0, daemons: 1_000 }, { kind: 'read-overdue' }],
  [
    'overdue, last of many',
    { ageMs: LONG_OVERDUE_MS, unconfirmedMs: LONG_OVERDUE_MS, daemons: 1_000 },
    { kind: 'await-overdue-turn', remainingMs: ((999 - FIRST_READS) / READS_PER_SECOND) * 1_000 },
  ],
  [
    'overdue, last of many, lacks a change that a peer announced, after the spread',
    { unconfirmedMs: LONG_OVERDUE_MS, daemons: 1_000, lacksAnnouncedChange: true },
    { kind: 'read-overdue' },
  ],
  [
    'overdue, last of many, lacks a change that a peer announced, before its turn',
    { ...OVERDUE, daemons: 1_000, lacksAnnouncedChange: true },
    { kind: 'await-overdue-turn', remainingMs: TIMINGS.readSpreadMs },
  ],
  [
    'overdue before the first lists',
    { ...OVERDUE, overduePosition: 0, hasBeenRead: false },
    { kind: 'read-overdue' },
  ],
  [
    'overdue, not paced, last',
    { ...OVERDUE, isPaced: false },
    { kind: 'await-overdue-turn', remainingMs: TIMINGS.readSpreadMs },
  ],
  [
    'overdue, not paced, after the spread',
    { unconfirmedMs: LONG_OVERDUE_MS, isPaced: false, daemons: 1_000 },
    { kind: 'read-overdue' },
  ],
  [
    'outdated data just after the start',
    { ageMs: Number.POSITIVE_INFINITY, unconfirmedMs: 0 },
    { kind: 'leave-to-others' },
  ],
  ['one reader is left', { otherReaders: 1 }, { kind: 'volunteer', withinMs: VOLUNTEER_ONE_READER_MS }],
  ['no reader is left', { otherReaders: 0 }, { kind: 'volunteer', withinMs: VOLUNTEER_NO_READER_MS }],
  [
    'no reader has been seen yet',
    { otherReaders: 0, hasSeenOtherReaders: false },
    { kind: 'volunteer', withinMs: VOLUNTEER_AT_START_MS },
  ],
];

for (const [name, change, outcome] of CASES) {
  test(`${name}: ${outcome.kind}`, (t) => {
    t.deepEqual(decideReaderRole({ ...CURRENT, ...change }, TIMINGS), outcome);
  });
}
