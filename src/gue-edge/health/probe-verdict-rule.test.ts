import test from 'ava';
import { commonVerdict, countingVotes, type ProbeState } from './probe-verdict-rule.js';
import { Verdict, type Vote } from './votes.js';

/** A vote of a member; `+` healthy, `-` unhealthy, `0` none. */
function vote(memberHash: number, sign: '+' | '-' | '0', learnedAtMs = 0): Vote {
  const verdicts = {
    '+': Verdict.VERDICT_HEALTHY,
    '-': Verdict.VERDICT_UNHEALTHY,
    '0': Verdict.VERDICT_NONE,
  };
  return {
    backendId: 1,
    memberHash,
    version: 1,
    verdict: verdicts[sign],
    passiveFailures: 0,
    load: undefined,
    learnedAtMs,
  };
}

const COUNTING: readonly (readonly [string, readonly Vote[], readonly number[], readonly number[]])[] = [
  ['no votes', [], [1, 2, 3], []],
  [
    'those of the probers alone',
    [vote(1, '+'), vote(2, '+'), vote(3, '-'), vote(4, '-')],
    [1, 2, 3],
    [1, 2, 3],
  ],
  ['a prober without a verdict does not count', [vote(1, '0'), vote(2, '+')], [1, 2], [2]],
  ['the newest others fill up', [vote(1, '+'), vote(4, '-', 1), vote(5, '-', 2)], [1, 2], [1, 5]],
  ['one vote without assigned probers', [vote(4, '-', 1), vote(5, '-', 2)], [], [5]],
];
for (const [name, votes, assigned, expected] of COUNTING) {
  test(`counting votes: ${name}`, (t) => {
    t.deepEqual(
      countingVotes(votes, assigned).map(({ memberHash }) => memberHash),
      [...expected],
    );
  });
}

const VERDICTS: readonly (readonly [string, readonly Vote[], ProbeState, ProbeState])[] = [
  ['no votes', [], 'healthy', 'unknown'],
  ['majority healthy', [vote(1, '+'), vote(2, '+'), vote(3, '-')], 'unhealthy', 'healthy'],
  ['majority unhealthy', [vote(1, '-'), vote(2, '-'), vote(3, '+')], 'healthy', 'unhealthy'],
  ['a tie keeps unhealthy', [vote(1, '+'), vote(2, '-')], 'unhealthy', 'unhealthy'],
  ['a tie keeps healthy', [vote(1, '+'), vote(2, '-')], 'healthy', 'healthy'],
  ['a tie after nothing is healthy', [vote(1, '+'), vote(2, '-')], 'unknown', 'healthy'],
];
for (const [name, votes, previous, expected] of VERDICTS) {
  test(`common verdict: ${name}`, (t) => t.is(commonVerdict(votes, previous), expected));
}
