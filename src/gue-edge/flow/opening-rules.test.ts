import test from 'ava';
import type { PlacementDecision } from '../placement/types.js';
import { simulatedBackend } from '../placement/simulated-service.js';
import { chooseBackend, judgeOpening, judgeRecord, judgeReplication, judgeRetry } from './opening-rules.js';
import { RecordStatus } from './record-codec.js';

const backend = simulatedBackend('service/backend', {});
const PLACED: PlacementDecision = { outcome: 'place', backend, firstChoice: true };
const REFUSED: PlacementDecision = { outcome: 'refuse', reason: 'no-eligible-backend' };

const OPENING = {
  served: true,
  mayOpen: () => true,
  unanswered: 0,
  maxUnanswered: 1,
  refusal: () => undefined,
  choose: () => PLACED,
} as const;
const OPENINGS: readonly (readonly [string, Partial<Parameters<typeof judgeOpening>[0]>, unknown])[] = [
  ['placed', {}, { outcome: 'place', backend }],
  ['no service', { served: false, mayOpen: () => false }, { outcome: 'refuse', cause: 'no-service' }],
  [
    'not surely the keeper',
    { mayOpen: () => false, refusal: () => 'service-openings' },
    { outcome: 'defer' },
  ],
  ['too many unanswered', { unanswered: 1, refusal: () => 'service-openings' }, { outcome: 'defer' }],
  ['a limit', { refusal: () => 'service-openings' }, { outcome: 'refuse', cause: 'service-openings' }],
  ['no back end', { choose: () => REFUSED }, { outcome: 'refuse', cause: 'no-eligible-backend' }],
  ['no exception possible', { choose: () => 'deferred' }, { outcome: 'defer' }],
];
for (const [name, change, expected] of OPENINGS) {
  test(`opening: ${name}`, (t) =>
    t.deepEqual<unknown, unknown>(judgeOpening({ ...OPENING, ...change }), expected));
}

test('opening: an opening that is deferred takes no token and no choice', (t) => {
  let spent = 0;
  const spend = (): undefined => void (spent += 1);
  judgeOpening({ ...OPENING, mayOpen: () => false, refusal: spend });
  judgeOpening({ ...OPENING, unanswered: 1, refusal: spend });
  t.is(spent, 0);
});

const CHOICES = [
  ['exceptions for balance', true, false, [true], PLACED],
  ['the first choice while control bytes run short', true, true, [false], PLACED],
  ['an exception that is needed, although control bytes run short', true, true, [false, true], REFUSED],
  ['the first choice while nothing can be replicated', false, false, [false], PLACED],
  ['deferred when the first choice is not eligible either', false, false, [false], REFUSED],
  ['no eligible back end', true, false, [true], REFUSED],
] as const;
for (const [name, canReplicate, short, allowed, decision] of CHOICES) {
  test(`choice: ${name}`, (t) => {
    const asked: boolean[] = [];
    const choose = (exceptionsAllowed: boolean): PlacementDecision => {
      asked.push(exceptionsAllowed);
      return decision;
    };
    const result = chooseBackend({ canReplicate, isBudgetShort: () => short, choose });
    t.deepEqual(asked, [...allowed]);
    t.is<unknown, unknown>(result, !canReplicate && decision === REFUSED ? 'deferred' : decision);
  });
}

const RECORDS = [
  ['a first choice without history', false, false, true, true, 'none'],
  ['an exception', true, false, true, true, 'replicate'],
  ['a first choice whose fingerprint had a record', false, true, true, true, 'replicate'],
  ['an exception that cannot be replicated now', true, false, true, false, 'impossible'],
  ['an exception without a backup', true, true, false, false, 'none'],
] as const;
for (const [name, exception, hadRecord, hasBackup, can, expected] of RECORDS) {
  test(`record: ${name}`, (t) => {
    t.is(judgeRecord({ exception, hadRecord, hasBackup, canReplicate: () => can }), expected);
  });
}

const REPLICATIONS = [
  ['stored', true, RecordStatus.STORED, true, 'send'],
  ["the backup's own placement", true, RecordStatus.OWN_RECORD, true, 'send'],
  ['a back end that is not known', true, RecordStatus.OWN_RECORD, false, 'ignore'],
  ['not held', true, RecordStatus.NOT_HELD, true, 'abandon'],
  ['nothing waits for it', false, RecordStatus.NOT_HELD, true, 'ignore'],
] as const;
for (const [name, isAwaited, status, isBackendKnown, expected] of REPLICATIONS) {
  test(`replication: ${name}`, (t) => {
    t.is(judgeReplication({ isAwaited, status, isBackendKnown }), expected);
  });
}

const RETRY = {
  hasSyn: true,
  sentSyns: 1,
  mayOpen: () => true,
  choose: (): PlacementDecision | 'deferred' => PLACED,
  takeRetry: () => true,
};
const RETRIES = [
  ['no-syn', { hasSyn: false }, 0],
  ['syn-repeated', { sentSyns: 2 }, 0],
  ['syn-repeated', { sentSyns: 0 }, 0],
  ['not-keeper', { mayOpen: () => false }, 0],
  ['no-other-backend', { choose: () => REFUSED }, 0],
  ['no-other-backend', { choose: () => 'deferred' as const }, 0],
  ['budget-spent', {}, 1],
] as const;
for (const [index, [reason, change, taken]] of RETRIES.entries()) {
  test(`retry ${index}: the caller gets the reset: ${reason}`, (t) => {
    let asked = 0;
    const takeRetry = (): boolean => {
      asked += 1;
      return false;
    };
    t.deepEqual(judgeRetry({ ...RETRY, takeRetry, ...change }), { outcome: 'pass-reset', reason });
    t.is(asked, taken);
  });
}
test('retry: another back end', (t) => t.deepEqual(judgeRetry(RETRY), { outcome: 'retry', backend }));
