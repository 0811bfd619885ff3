/** Checks each outcome for a packet other than a SYN, and which of its cookie and the cached flow decides. */
import test from 'ava';
import type { KnownBackend } from '../routing/index.js';
import { MAX_ACKNOWLEDGEMENT_ADVANCE_BYTES } from './constants.js';
import type { FlowPhase } from './flow-cache.js';
import type { HandshakeEvidence } from './handshake-evidence.js';
import {
  backendOfPacket,
  continuesCachedFlow,
  decideContradiction,
  decideMidFlow,
  type MidFlowOutcome,
} from './mid-flow-rule.js';

const [fromCookie, fromCachedFlow] = [{ id: 'named' }, { id: 'remembered' }] as [KnownBackend, KnownBackend];

const CASES: readonly {
  readonly title: string;
  readonly cookie: KnownBackend | undefined;
  readonly cachedFlowBackend: KnownBackend | undefined;
  readonly isDead: boolean;
  readonly backend: KnownBackend | undefined;
  readonly outcome: MidFlowOutcome;
}[] = [
  {
    title: 'the cookie decides if there is no cached flow',
    cookie: fromCookie,
    cachedFlowBackend: undefined,
    isDead: false,
    backend: fromCookie,
    outcome: 'forward',
  },
  {
    title: 'the cookie takes precedence over the cached flow',
    cookie: fromCookie,
    cachedFlowBackend: fromCachedFlow,
    isDead: false,
    backend: fromCookie,
    outcome: 'forward',
  },
  {
    title: 'the cached flow decides if there is no cookie',
    cookie: undefined,
    cachedFlowBackend: fromCachedFlow,
    isDead: false,
    backend: fromCachedFlow,
    outcome: 'forward',
  },
  {
    title: 'a flow at a dead back end is reset',
    cookie: fromCookie,
    cachedFlowBackend: fromCachedFlow,
    isDead: true,
    backend: fromCookie,
    outcome: 'reset',
  },
  {
    title: 'a packet of an unknown back end is dropped',
    cookie: undefined,
    cachedFlowBackend: undefined,
    isDead: false,
    backend: undefined,
    outcome: 'drop',
  },
];

for (const { title, cookie, cachedFlowBackend, isDead, backend, outcome } of CASES) {
  test(title, (t) => {
    const chosen = backendOfPacket(cookie, cachedFlowBackend);
    t.is(chosen, backend);
    t.is(decideMidFlow(chosen, isDead), outcome);
  });
}

const LARGEST_SEQUENCE = 0xffff_ffff;

const CONTINUATIONS: readonly (readonly [string, FlowPhase, number, number, boolean])[] = [
  ['of the handshake', 'open', 500, 500, true],
  ['after an answer', 'open', 1_100, 500, true],
  ['that was overtaken', 'open', 500, 1_100, true],
  ['across the largest sequence number', 'open', 100, LARGEST_SEQUENCE - 100, true],
  ['of a closed flow', 'closing', 500, 500, true],
  ['at the largest distance', 'open', 500 + MAX_ACKNOWLEDGEMENT_ADVANCE_BYTES, 500, true],
  ['of another back end', 'open', 501 + MAX_ACKNOWLEDGEMENT_ADVANCE_BYTES, 500, false],
  ['before the handshake is complete', 'opening', 0, 0, false],
];

for (const [title, phase, acknowledgement, cachedAcknowledgement, expected] of CONTINUATIONS) {
  test(`an acknowledgement ${title} ${expected ? 'continues' : 'does not continue'} the cached flow`, (t) => {
    t.is(continuesCachedFlow(acknowledgement, { phase, acknowledgement: cachedAcknowledgement }), expected);
  });
}

const HANDSHAKE_ACKNOWLEDGEMENT = 501;
const ANSWERED = HANDSHAKE_ACKNOWLEDGEMENT + 600;

const CONTRADICTIONS: readonly (readonly [
  title: string,
  flow: readonly [retransmissionCount: number, handshake: HandshakeEvidence],
  packet: readonly [acknowledgement: number, repeatsData: boolean],
  outcome: 'overruled' | 'followed',
])[] = [
  ['a first SYN opened the flow here', [0, 'answered'], [501, false], 'followed'],
  ['a retransmitted SYN opened the flow here', [1, 'seen'], [501, false], 'overruled'],
  ['the back end has not answered its first data yet', [1, 'seen'], [501, true], 'overruled'],
  ['the handshake was not seen', [1, 'unseen'], [501, false], 'followed'],
  ['an answer came that may be of either back end', [1, 'seen'], [ANSWERED, false], 'overruled'],
  ['the other back end seems to answer', [1, 'seen'], [ANSWERED, true], 'followed'],
  ['the back end has answered before', [1, 'answered'], [ANSWERED, true], 'overruled'],
];

for (const [
  title,
  [retransmissionCount, handshake],
  [acknowledgement, repeatsData],
  outcome,
] of CONTRADICTIONS) {
  const flow = {
    phase: 'open',
    acknowledgement: HANDSHAKE_ACKNOWLEDGEMENT,
    handshakeAcknowledgement: HANDSHAKE_ACKNOWLEDGEMENT,
    retransmissionCount,
    handshake,
  } as const;

  test(`the cookie of an established flow at another back end is ${outcome} if ${title}`, (t) => {
    t.is(decideContradiction({ isOpeningCookie: false, acknowledgement, repeatsData }, flow), outcome);
  });

  test(`an opening cookie of another back end is overruled if ${title}`, (t) => {
    t.is(decideContradiction({ isOpeningCookie: true, acknowledgement, repeatsData }, flow), 'overruled');
  });
}

test('a cookie is followed if the packet does not continue the cached flow', (t) => {
  const flow = {
    phase: 'open',
    acknowledgement: HANDSHAKE_ACKNOWLEDGEMENT,
    handshakeAcknowledgement: HANDSHAKE_ACKNOWLEDGEMENT,
    retransmissionCount: 1,
    handshake: 'answered',
  } as const;
  const acknowledgement = HANDSHAKE_ACKNOWLEDGEMENT + MAX_ACKNOWLEDGEMENT_ADVANCE_BYTES + 1;
  for (const isOpeningCookie of [false, true]) {
    t.is(decideContradiction({ isOpeningCookie, acknowledgement, repeatsData: false }, flow), 'followed');
  }
});

test('a departed or draining back end keeps its flows', (t) => {
  const departed = { id: 'a', departed: true, lapsed: false, record: { draining: true } } as KnownBackend;
  t.is(decideMidFlow(departed, false), 'forward');
});
