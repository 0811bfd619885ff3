import test from 'ava';
import { CONTROL_KINDS, type ControlKind } from '../../control/types.js';
import { membersSeen, quantile, secondsToEverywhere, stepFigures } from './step-figures.js';
import type { HollowSample, HostSample, KindTotals } from './types.js';

interface Given {
  readonly bytesOut?: number;
  readonly openings?: number;
  readonly exceptions?: number;
  readonly openFlows?: number;
  readonly tableBytes?: number;
  readonly applied?: readonly (readonly [number, number])[];
  readonly changes?: readonly (readonly [string, string])[];
}

function daemon(id: string, given: Given = {}): HollowSample {
  const none: KindTotals = { bytesOut: 0, bytesIn: 0, messagesOut: 0 };
  const kinds = Object.fromEntries(CONTROL_KINDS.map((kind) => [kind, none])) as Record<
    ControlKind,
    KindTotals
  >;
  kinds.health = { ...none, bytesOut: given.bytesOut ?? 0 };
  kinds.handover = { ...none, bytesOut: (given.bytesOut ?? 0) / 10 };
  return {
    ...{ id, region: 'r', zone: 'z', version: 1, members: 2, quorate: true, storeReader: id === 'a', kinds },
    ...{ openFlows: given.openFlows ?? 0, replicatedFlows: 0, flowTableBytes: given.tableBytes ?? 0 },
    ...{ openings: given.openings ?? 0, exceptions: given.exceptions ?? 0 },
    ...{ shardsKept: 1, shardsAcquiring: 0, probes: 0 },
    applied: (given.applied ?? []).map(([version, atWallMs]) => ({ version, atWallMs })),
    changes: (given.changes ?? []).map(([memberId, state]) => ({ memberId, state, atWallMs: 0 })),
  };
}

function host(atWallMs: number, cpuMs: number, daemons: readonly HollowSample[]): HostSample {
  return { atWallMs, cpuMs, residentBytes: 90_000_000, daemons };
}

test('rates are those of one daemon between the two samples', (t) => {
  const before = [
    host(1_000, 500, [daemon('a', { bytesOut: 1_000 }), daemon('b')]),
    host(1_000, 100, [daemon('c', { bytesOut: 50 })]),
  ];
  const after = [
    host(11_000, 1_100, [
      daemon('a', { bytesOut: 2_000, openings: 200, exceptions: 30, openFlows: 200, tableBytes: 20_000 }),
      daemon('b', { bytesOut: 100, openings: 100, openFlows: 100, tableBytes: 4_000 }),
    ]),
    host(11_000, 400, [daemon('c', { bytesOut: 5_050 }), daemon('late', { bytesOut: 9 })]),
  ];
  const figures = stepFigures({
    ...{ regions: 1, backends: 5, services: 1, openingsPerSecond: 0, changesPerSecond: 0 },
    ...{ before, after, edits: [], emptyHostBytes: 60_000_000, storeRequests: 40 },
    ...{ settled: before, settleSeconds: 7 },
  });
  t.is(figures.members, 3);
  t.is(figures.seconds, 10);
  t.is(figures.bytesOutPerSecond, 110);
  t.is(figures.bytesOutPerSecondMax, 550);
  t.is(figures.bytesOutByKind['health'], 203.33);
  t.is(figures.cpuFraction, 0.03);
  t.is(figures.residentMegabytes, 20);
  t.is(figures.openingsPerSecond, 10);
  t.is(figures.exceptionsShare, 0.1);
  t.is(figures.flowTableBytesPerFlow, 80);
  t.is(figures.storeReaders, 1);
  t.is(figures.storeRequestsPerSecond, 4);
  t.is(figures.secondsToEverywhereMax, null);
  t.is(figures.settleBytesPerDaemon, 385);
  t.is(figures.settleHandoverBytesPerDaemon, 35);
});

const EDIT = { version: 5, startedAtWallMs: 1_000 };
const SPREADS = [
  { name: 'the last daemon counts', applied: [[5, 1_400]], seconds: 0.9 },
  {
    name: 'a later version carries the edit too',
    applied: [
      [4, 1_100],
      [7, 2_500],
    ],
    seconds: 1.5,
  },
  { name: 'an earlier version does not', applied: [[4, 1_100]], seconds: undefined },
  { name: 'a daemon without any version', applied: [], seconds: undefined },
] as const;
for (const { name, applied, seconds } of SPREADS) {
  test(`time until an edit is in force everywhere: ${name}`, (t) => {
    const daemons = [daemon('a', { applied: [[5, 1_900]] }), daemon('b', { applied })];
    t.is(secondsToEverywhere(daemons, EDIT), seconds);
  });
}

test('members are counted once, however many saw their change', (t) => {
  const changes = [
    ['x', 'suspect'],
    ['x', 'active'],
    ['y', 'gone'],
  ] as const;
  const daemons = [daemon('a', { changes }), daemon('b', { changes })];
  t.is(membersSeen(daemons, 'suspect'), 1);
  t.is(membersSeen(daemons, 'gone'), 1);
});

test('quantiles of a list', (t) => {
  t.is(quantile([], 0.5), undefined);
  t.is(quantile([3, 1, 2], 0.5), 2);
  t.is(quantile([3, 1, 2], 1), 3);
});
