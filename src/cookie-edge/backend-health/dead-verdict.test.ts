/** When a back end is probed, when probes prove it dead, and how long a verdict lasts. */
import test from 'ava';
import type { ProbeFinding } from './backend-prober.js';
import {
  ZONE_DEATH_WINDOW_MS,
  MAX_PROBES_AT_ONCE,
  PROBE_COOLDOWN_MS,
  PROBE_TIMEOUT_SLACK_MS,
  PROBE_TIMEOUT_MS,
} from './constants.js';
import {
  DeadVerdict,
  decideProbe,
  evaluateProbe,
  combineFindings,
  concludeProbes,
  decideRecheck,
  isSecondZoneDeath,
  type ProbeDecision,
  type ProbeConclusion,
  type ProbeDecisionInput,
  type RecheckDecision,
} from './dead-verdict.js';

const NEVER = Number.NEGATIVE_INFINITY;
const NOW_MS = 10_000;
const PROBES_STARTED_MS = 5_000;

const BASE_INPUT: ProbeDecisionInput = {
  nowMs: NOW_MS,
  openFlows: 1,
  isDead: false,
  isProbing: false,
  backendsProbed: 0,
  lastAnswerAtMs: NEVER,
};

const PROBE_DECISIONS: readonly (readonly [Partial<ProbeDecisionInput>, ProbeDecision])[] = [
  [{}, 'probe'],
  [{ openFlows: 0 }, 'no-flows'],
  [{ isDead: true }, 'already-dead'],
  [{ isProbing: true }, 'already-probing'],
  [{ backendsProbed: MAX_PROBES_AT_ONCE - 1 }, 'probe'],
  [{ backendsProbed: MAX_PROBES_AT_ONCE }, 'too-many-probes'],
  [{ lastAnswerAtMs: NOW_MS - PROBE_COOLDOWN_MS + 1 }, 'just-answered'],
  [{ lastAnswerAtMs: NOW_MS - PROBE_COOLDOWN_MS }, 'probe'],
];

for (const [overrides, expected] of PROBE_DECISIONS) {
  test(`probing with ${JSON.stringify(overrides)}: ${expected}`, (t) => {
    t.is(decideProbe({ ...BASE_INPUT, ...overrides }), expected);
  });
}

test('silence and refusals count only in time and without a pause; answers always count', (t) => {
  const lateMs = PROBE_TIMEOUT_MS + PROBE_TIMEOUT_SLACK_MS + 1;
  t.is(evaluateProbe('silent', lateMs - 1, false), 'silent');
  t.is(evaluateProbe('silent', lateMs, false), 'inconclusive');
  t.is(evaluateProbe('refused', 1, true), 'inconclusive');
  t.is(evaluateProbe('refused', 1, false), 'refused');
  t.is(evaluateProbe('answered', lateMs, true), 'answered');
});

// Guards against a live back end at its connection limit that counts as dead: it accepts connections and resets them.
test('a probe that was reset after its handshake counts as answered', (t) => {
  const lateMs = PROBE_TIMEOUT_MS + PROBE_TIMEOUT_SLACK_MS + 1;
  t.is(evaluateProbe('reset', 1, false), 'answered');
  t.is(evaluateProbe('reset', lateMs, true), 'answered');
});

/** Findings in order of precedence, highest first. */
const FINDINGS_BY_STRENGTH: readonly ProbeFinding[] = ['answered', 'refused', 'inconclusive', 'silent'];

for (const [rank, stronger] of FINDINGS_BY_STRENGTH.entries()) {
  for (const weaker of FINDINGS_BY_STRENGTH.slice(rank)) {
    test(`a pair of ${stronger} and ${weaker}`, (t) => {
      t.is(combineFindings(stronger, weaker), stronger);
      t.is(combineFindings(weaker, stronger), stronger);
    });
  }
}

/** Finding, last sign of life, last one of others, conclusion; probes started at `PROBES_STARTED_MS`. */
const CONCLUSIONS: readonly (readonly [ProbeFinding, number, number, ProbeConclusion])[] = [
  ['refused', PROBES_STARTED_MS, NEVER, 'alive'],
  ['answered', PROBES_STARTED_MS, NEVER, 'alive'],
  ['answered', NEVER, NEVER, 'answered'],
  ['refused', PROBES_STARTED_MS - 1, NEVER, 'refused'],
  ['silent', NEVER, PROBES_STARTED_MS, 'silent'],
  ['silent', NEVER, PROBES_STARTED_MS - 1, 'unproved'],
  ['inconclusive', NEVER, PROBES_STARTED_MS, 'unproved'],
];

for (const [finding, lastSignOfLifeMs, othersLastSignOfLifeMs, expected] of CONCLUSIONS) {
  test(`${finding}, last sign of life ${lastSignOfLifeMs}, others ${othersLastSignOfLifeMs}: ${expected}`, (t) => {
    t.is(
      concludeProbes(finding, { startedMs: PROBES_STARTED_MS, lastSignOfLifeMs, othersLastSignOfLifeMs }),
      expected,
    );
  });
}

/** Finding, last sign of life of others, decision; probes started at `PROBES_STARTED_MS`. */
const RECHECKS: readonly (readonly [ProbeFinding, number, RecheckDecision])[] = [
  ['answered', NEVER, 'revive'],
  ['refused', NEVER, 'renew'],
  ['silent', PROBES_STARTED_MS, 'renew'],
  ['silent', PROBES_STARTED_MS - 1, 'lapse'],
  ['inconclusive', PROBES_STARTED_MS, 'lapse'],
];

for (const [finding, othersLastSignOfLifeMs, expected] of RECHECKS) {
  test(`recheck ${finding}, others ${othersLastSignOfLifeMs}: ${expected}`, (t) => {
    t.is(decideRecheck(finding, PROBES_STARTED_MS, othersLastSignOfLifeMs), expected);
  });
}

test('a death counts as the second of its zone only after another back end within the window', (t) => {
  const death = { state: 'b', atMs: NOW_MS };
  t.false(isSecondZoneDeath(undefined, death));
  t.false(isSecondZoneDeath({ state: 'b', atMs: NOW_MS - 1 }, death));
  t.true(isSecondZoneDeath({ state: 'a', atMs: NOW_MS - ZONE_DEATH_WINDOW_MS + 1 }, death));
  t.false(isSecondZoneDeath({ state: 'a', atMs: NOW_MS - ZONE_DEATH_WINDOW_MS }, death));
});

test('a verdict is in force until it expires or is ended', (t) => {
  const verdict = new DeadVerdict();
  t.false(verdict.isInForce(NOW_MS));
  verdict.begin({ proof: 'silent', sinceMs: NOW_MS }, NOW_MS + 1);
  t.true(verdict.isInForce(NOW_MS));
  t.false(verdict.isInForce(NOW_MS + 1));
  verdict.renew(NOW_MS + 2);
  t.true(verdict.isInForce(NOW_MS + 1));
  t.deepEqual(verdict.reason, { proof: 'silent', sinceMs: NOW_MS });
  verdict.end();
  t.false(verdict.isInForce(NOW_MS));
});
