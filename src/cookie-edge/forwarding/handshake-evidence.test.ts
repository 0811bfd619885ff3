/** Checks what each packet shows of the handshake with the cached back end. */
import test from 'ava';
import type { FlowPhase } from './flow-cache.js';
import { handshakeEvidenceAfter, type HandshakeEvidence } from './handshake-evidence.js';
import type { CookieOutcome } from './mid-flow-rule.js';

const HANDSHAKE_ACKNOWLEDGEMENT = 501;
const ANSWERED = HANDSHAKE_ACKNOWLEDGEMENT + 600;

const CASES: readonly (readonly [
  title: string,
  phase: FlowPhase,
  before: HandshakeEvidence,
  acknowledgement: number,
  cookie: CookieOutcome,
  after: HandshakeEvidence,
])[] = [
  ['the first packet at the back end of the SYN', 'opening', 'unseen', 501, 'agrees', 'seen'],
  ['a first packet that follows its cookie elsewhere', 'opening', 'unseen', 501, 'followed', 'unseen'],
  ['a packet without a new acknowledgement', 'open', 'seen', 501, 'agrees', 'seen'],
  ['an overtaken packet', 'open', 'seen', 400, 'agrees', 'seen'],
  ['an acknowledged answer', 'open', 'seen', ANSWERED, 'agrees', 'answered'],
  ['an acknowledged answer with another cookie', 'open', 'seen', ANSWERED, 'overruled', 'seen'],
  ['another cookie after an answer', 'open', 'answered', ANSWERED, 'overruled', 'answered'],
  ['a packet that follows its cookie elsewhere', 'open', 'answered', ANSWERED, 'followed', 'unseen'],
  ['an acknowledged answer of an adopted flow', 'open', 'unseen', ANSWERED, 'agrees', 'unseen'],
];

for (const [title, phase, before, acknowledgement, cookie, after] of CASES) {
  test(`${title}: ${after}`, (t) => {
    const flow = { phase, handshake: before, handshakeAcknowledgement: HANDSHAKE_ACKNOWLEDGEMENT };
    t.is(handshakeEvidenceAfter(flow, acknowledgement, cookie), after);
  });
}

test('an answer across the largest sequence number is one', (t) => {
  const flow = { phase: 'open', handshake: 'seen', handshakeAcknowledgement: 0xffff_ff00 } as const;
  t.is(handshakeEvidenceAfter(flow, 0x200, 'agrees'), 'answered');
});
