import test from 'ava';
import {
  contestAfterPacket,
  contestOfNewFlow,
  mayBeOpenElsewhere,
  shouldShare,
  showsHandshake,
  type FlowContest,
} from './contest-rule.js';
import type { FlowPhase } from './flow-cache.js';
import type { CookieOutcome } from './mid-flow-rule.js';

test('a flow that is placed by a retransmitted SYN is contested', (t) => {
  t.is(contestOfNewFlow(0), 'none');
  t.is(contestOfNewFlow(1), 'contested');
});

const PACKETS: readonly (readonly [FlowContest, CookieOutcome, boolean, FlowContest])[] = [
  ['none', 'agrees', true, 'none'],
  ['none', 'overruled', true, 'contested'],
  ['none', 'followed', false, 'contested'],
  ['unconfirmed', 'agrees', false, 'unconfirmed'],
  ['unconfirmed', 'overruled', false, 'unconfirmed'],
  ['unconfirmed', 'agrees', true, 'contested'],
  ['unconfirmed', 'followed', false, 'contested'],
  ['contested', 'agrees', true, 'contested'],
  ['shared', 'agrees', true, 'shared'],
  ['shared', 'overruled', true, 'shared'],
  ['shared', 'followed', true, 'contested'],
];

for (const [before, cookie, isEstablished, after] of PACKETS) {
  const evidence = isEstablished ? 'with' : 'without';
  test(`a flow with contest ${before} and a cookie that ${cookie}, ${evidence} an established one: ${after}`, (t) => {
    t.is(contestAfterPacket(before, cookie, isEstablished), after);
  });
}

test('a contested flow is shared once it is open', (t) => {
  const phases: readonly FlowPhase[] = ['opening', 'open', 'closing'];
  const shared = phases.filter((phase) => shouldShare('contested', phase));
  t.deepEqual(shared, ['open']);
  t.false(shouldShare('none', 'open'));
  t.false(shouldShare('unconfirmed', 'open'));
  t.false(shouldShare('shared', 'open'));
});

test('a contested flow may be open elsewhere until its handshake is seen', (t) => {
  t.true(mayBeOpenElsewhere('contested', 'opening'));
  t.false(mayBeOpenElsewhere('none', 'opening'));
  t.false(mayBeOpenElsewhere('contested', 'open'));
});

test('a flow that was adopted by an opening cookie shows nothing to peers', (t) => {
  t.false(showsHandshake({ handshake: 'unseen', hasEstablishedCookie: false }));
  t.true(showsHandshake({ handshake: 'unseen', hasEstablishedCookie: true }));
  t.true(showsHandshake({ handshake: 'seen', hasEstablishedCookie: false }));
});
