import test from 'ava';
import { FlowFlag } from './flow-table.js';
import { isForwardedAnyway, judgeKnownFlow, type KnownFlowInput } from './known-flow-rule.js';

const { PENDING, CLOSED, ANSWERED, EXCEPTION } = FlowFlag;
const INPUT: KnownFlowInput = {
  flags: 0,
  isOfService: true,
  syn: false,
  opening: false,
  serving: true,
  isSurelyKeeper: () => true,
};
const SYN = { syn: true, opening: true };
const UNSURE = { isSurelyKeeper: () => false };

const PACKETS: readonly (readonly [string, Partial<KnownFlowInput>, string])[] = [
  ['a back end of another service', { isOfService: false, flags: PENDING }, 'wrong-service'],
  ['SYN while waiting for the backup', { ...SYN, flags: PENDING }, 'repeat-syn'],
  ['SYN and ACK while waiting for the backup', { syn: true, flags: PENDING }, 'repeat-syn'],
  ['data while waiting for the backup', { flags: PENDING }, 'drop'],
  ['SYN of a closed flow', { ...SYN, flags: CLOSED | ANSWERED }, 'open'],
  ['SYN of a closed flow during a transfer', { ...SYN, flags: CLOSED | ANSWERED, serving: false }, 'forward'],
  [
    'SYN of a closed unanswered flow during a transfer',
    { ...SYN, flags: CLOSED, serving: false },
    'forward-syn',
  ],
  ['a late packet of a closed flow', { flags: CLOSED | ANSWERED, ...UNSURE }, 'forward'],
  ['SYN of an unanswered flow', SYN, 'forward-syn'],
  ['the third packet of an unanswered flow', {}, 'forward'],
  ['an unanswered flow of a doubtful keeper', { ...SYN, ...UNSURE }, 'defer'],
  ['an answered flow of a doubtful keeper', { flags: ANSWERED, ...UNSURE }, 'forward'],
];
for (const [name, change, expected] of PACKETS) {
  test(`known flow: ${name}`, (t) => t.is<string, string>(judgeKnownFlow({ ...INPUT, ...change }), expected));
}

test('known flow: what skips the rule is what it would forward unconditionally', (t) => {
  for (const flags of [
    0,
    PENDING,
    CLOSED,
    ANSWERED,
    ANSWERED | CLOSED,
    ANSWERED | EXCEPTION,
    ANSWERED | PENDING,
  ]) {
    for (const opening of [true, false]) {
      const verdict = judgeKnownFlow({ ...INPUT, flags, syn: opening, opening, ...UNSURE });
      if (isForwardedAnyway(flags, opening)) t.is(verdict, 'forward');
    }
  }
  t.true(isForwardedAnyway(ANSWERED | EXCEPTION, true));
  t.true(isForwardedAnyway(ANSWERED | CLOSED, false));
  t.false(isForwardedAnyway(ANSWERED | CLOSED, true));
  t.false(isForwardedAnyway(ANSWERED | PENDING, false));
  t.false(isForwardedAnyway(0, false));
});
