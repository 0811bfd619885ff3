/** Checks each outcome for a packet other than a SYN, and the precedence of its cookie over the cached flow. */
import test from 'ava';
import type { KnownBackend } from '../routing/index.js';
import { backendOfPacket, decideMidFlow, type MidFlowOutcome } from './mid-flow-rule.js';

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

test('a departed or draining back end keeps its flows', (t) => {
  const departed = { id: 'a', departed: true, lapsed: false, record: { draining: true } } as KnownBackend;
  t.is(decideMidFlow(departed, false), 'forward');
});
