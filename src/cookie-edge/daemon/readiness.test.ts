import test from 'ava';
import { decideReadiness } from './readiness.js';

const READY_INPUTS = { isStopping: false, hasRoutes: true, missingTopics: [] } as const;

const CASES = [
  { name: 'all topics are known', change: {}, reasons: [] },
  { name: 'a stop was requested', change: { isStopping: true }, reasons: ['stopping'] },
  { name: 'no routes yet', change: { hasRoutes: false }, reasons: ['no routes'] },
  { name: 'no back ends yet', change: { missingTopics: ['backends'] }, reasons: ['no backends'] },
  {
    name: 'no topic is known, and a stop was requested',
    change: { isStopping: true, hasRoutes: false, missingTopics: ['backends', 'cordons'] },
    reasons: ['stopping', 'no routes', 'no backends', 'no cordons'],
  },
] as const;

for (const { name, change, reasons } of CASES) {
  test(`${name}: ${reasons.join(', ') || 'ready'}`, (t) => {
    t.deepEqual(decideReadiness({ ...READY_INPUTS, ...change }), {
      ready: reasons.length === 0,
      reasons: [...reasons],
    });
  });
}
