/** When a daemon becomes active, and every reason why new flows may not come to it. */
import test from 'ava';
import { mayBecomeActive, reasonsNotReady, type ActivationFacts, type ReadinessFacts } from './readiness.js';

const READY: ReadinessFacts = { phase: 'active', hasSettings: true, isQuorate: true, hasServed: true };

const READINESS: readonly (readonly [string, Partial<ReadinessFacts>, readonly string[]])[] = [
  ['ready', {}, []],
  ['starting', { phase: 'starting' }, ['starting']],
  ['draining', { phase: 'draining' }, ['draining']],
  ['stopped', { phase: 'stopped' }, ['stopped']],
  ['no settings', { hasSettings: false }, ['no settings']],
  ['no quorum', { isQuorate: false }, ['no quorum']],
  ['before the first takeover', { hasServed: false }, ['first shards not taken over yet']],
  [
    'just started',
    { phase: 'starting', hasSettings: false, isQuorate: false, hasServed: false },
    ['starting', 'no settings', 'no quorum', 'first shards not taken over yet'],
  ],
];

for (const [name, facts, reasons] of READINESS) {
  test(`readiness: ${name}`, (t) => t.deepEqual(reasonsNotReady({ ...READY, ...facts }), reasons));
}

const SETTLED: ActivationFacts = {
  hasSettings: true,
  hasJoined: false,
  isQuorate: false,
  mayFoundRegion: false,
};

const ACTIVATIONS: readonly (readonly [string, Partial<ActivationFacts>, boolean])[] = [
  ['nobody met', {}, false],
  ['joined', { hasJoined: true }, true],
  ['quorate', { isQuorate: true }, true],
  ['may found the region', { mayFoundRegion: true }, true],
  ['joined, but without settings', { hasJoined: true, hasSettings: false }, false],
];

for (const [name, facts, expected] of ACTIVATIONS) {
  test(`activation: ${name}`, (t) => t.is(mayBecomeActive({ ...SETTLED, ...facts }), expected));
}
