import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import { UNLIMITED_SERVICE, type EffectiveService, type ServiceLimits } from '../../settings/types.js';
import { ExceptionBudget } from './exception-budget.js';
import { OpeningLimiter } from './opening-limiter.js';
import { RetryBudget } from './retry-budget.js';
import type { RefusalReason } from './types.js';

function service(limits: Partial<ServiceLimits>): EffectiveService {
  return { id: 1, limits: { ...UNLIMITED_SERVICE, ...limits } } as EffectiveService;
}

interface LimitCase {
  readonly name: string;
  readonly limits: Partial<ServiceLimits>;
  readonly share: number;
  readonly openFlows?: number;
  /** Openings offered a second, from this many clients in turn, for 10 s. */
  readonly offered: number;
  readonly clients: number;
  /** Admitted in 10 s, at least and at most. */
  readonly admitted: readonly [number, number];
  readonly reason?: RefusalReason;
}

const LIMITS: readonly LimitCase[] = [
  { name: 'no limit', limits: {}, share: 1, offered: 100, clients: 1, admitted: [1_000, 1_000] },
  {
    name: 'openings a second of the service',
    limits: { openingsPerSecond: 20 },
    share: 1,
    offered: 100,
    clients: 50,
    admitted: [200, 220],
    reason: 'service-openings',
  },
  {
    name: 'a quarter of the fleet',
    limits: { openingsPerSecond: 40 },
    share: 0.25,
    offered: 100,
    clients: 50,
    admitted: [100, 110],
    reason: 'service-openings',
  },
  {
    name: 'openings a second of a client',
    limits: { openingsPerSecondPerClient: 5 },
    share: 1,
    offered: 100,
    clients: 2,
    admitted: [100, 110],
    reason: 'client-openings',
  },
  {
    name: 'a share below one opening a second admits one',
    limits: { openingsPerSecond: 10 },
    share: 0.01,
    offered: 100,
    clients: 2,
    admitted: [10, 11],
    reason: 'service-openings',
  },
  {
    name: 'connections of the service',
    limits: { maxConnections: 100 },
    share: 0.5,
    openFlows: 50,
    offered: 10,
    clients: 1,
    admitted: [0, 0],
    reason: 'service-connections',
  },
  {
    name: 'one connection below the limit',
    limits: { maxConnections: 100 },
    share: 0.5,
    openFlows: 49,
    offered: 10,
    clients: 1,
    admitted: [100, 100],
  },
];
for (const entry of LIMITS) {
  test(`opening limit: ${entry.name}`, (t) => {
    const clock = new VirtualClock();
    const limiter = new OpeningLimiter({ clock, share: () => entry.share });
    const reasons = new Set<RefusalReason>();
    let admitted = 0;
    for (let opening = 0; opening < entry.offered * 10; opening += 1) {
      const reason = limiter.admit(service(entry.limits), opening % entry.clients, entry.openFlows ?? 0);
      if (reason) reasons.add(reason);
      else admitted += 1;
      clock.advance(1_000 / entry.offered);
    }
    t.true(admitted >= entry.admitted[0] && admitted <= entry.admitted[1], `${admitted}`);
    t.deepEqual([...reasons], entry.reason ? [entry.reason] : []);
  });
}

test('one greedy client does not use up the limit of the service', (t) => {
  const clock = new VirtualClock();
  const limiter = new OpeningLimiter({ clock, share: () => 1 });
  const limited = service({ openingsPerSecond: 10, openingsPerSecondPerClient: 2 });
  for (let opening = 0; opening < 100; opening += 1) limiter.admit(limited, 1, 0);
  t.is(limiter.admit(limited, 1, 0), 'client-openings');
  t.is(limiter.admit(limited, 2, 0), undefined);
});

test('the limiter remembers a bounded number of clients and forgets the least recently used', (t) => {
  const clock = new VirtualClock();
  const limiter = new OpeningLimiter({ clock, share: () => 1, maxTrackedClients: 100 });
  const limited = service({ openingsPerSecondPerClient: 1 });
  limiter.admit(limited, 7, 0);
  for (let client = 100; client < 10_000; client += 1) {
    limiter.admit(limited, client, 0);
    t.is(limiter.admit(limited, 7, 0), 'client-openings');
  }
  t.is(limiter.trackedClients, 100);
});

test('a changed limit is in force at once', (t) => {
  const clock = new VirtualClock();
  const limiter = new OpeningLimiter({ clock, share: () => 1 });
  const admitted = (limit: number): number => {
    let count = 0;
    for (let opening = 0; opening < 100; opening += 1) {
      if (!limiter.admit(service({ openingsPerSecond: limit }), 1, 0)) count += 1;
      clock.advance(10);
    }
    return count;
  };
  admitted(50);
  t.true(admitted(5) <= 10);
});

const RETRIES = [
  { name: 'a tenth of the openings', share: 0.1, openingsPerSecond: 100, most: 230, least: 180 },
  { name: 'the floor at few openings', share: 0.1, openingsPerSecond: 1, most: 23, least: 15 },
  { name: 'none', share: 0, openingsPerSecond: 100, most: 0, least: 0 },
] as const;
for (const { name, share, openingsPerSecond, most, least } of RETRIES) {
  test(`retry budget while every opening fails for 20 s: ${name}`, (t) => {
    const clock = new VirtualClock();
    const budget = new RetryBudget({ clock, share: () => share });
    let retries = 0;
    for (let opening = 0; opening < openingsPerSecond * 20; opening += 1) {
      budget.recordOpening();
      while (budget.tryRetry()) retries += 1;
      clock.advance(1_000 / openingsPerSecond);
    }
    t.true(retries <= most && retries >= least, `${retries}`);
  });
}

test('retry budget: what quiet times earn is bounded', (t) => {
  const clock = new VirtualClock();
  const budget = new RetryBudget({ clock, share: () => 0.1 });
  for (let opening = 0; opening < 100_000; opening += 1) {
    budget.recordOpening();
    clock.advance(10);
  }
  let retries = 0;
  while (budget.tryRetry()) retries += 1;
  // 100 openings a second over the 10 s window, a tenth of them.
  t.true(retries >= 50 && retries <= 101, `${retries}`);
});

for (const [openingsPerSecond, least, largest] of [
  [10, 0.14, 0.14],
  [150, 0.14, 0.14],
  [500, 0.05, 0.06],
  [2_000, 0.012, 0.016],
] as const) {
  test(`exceptions fit the byte budget at ${openingsPerSecond} openings a second`, (t) => {
    const clock = new VirtualClock();
    const budget = new ExceptionBudget({ clock, bytesPerSecond: 3_600 });
    let share = 1;
    for (let opening = 0; opening < 30 * openingsPerSecond; opening += 1) {
      clock.advance(1_000 / openingsPerSecond);
      share = budget.countOpening();
    }
    t.true(share >= least && share <= largest, String(share));
  });
}
