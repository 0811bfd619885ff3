/** Who can take over at a planned stop, when it is complete, and the order of its steps. */
import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import type { EventDefinition } from '../../observability/event.js';
import type { MemberState } from '../membership/types.js';
import type { Components } from './components.js';
import { DAEMON_EVENTS } from './events.js';
import { hasHeirs, isHandedOver, leaveAndHandOver } from './planned-stop.js';

const HEIRS: readonly (readonly [string, readonly MemberState[], boolean])[] = [
  ['nobody', [], false],
  ['active', ['active'], true],
  ['suspect', ['suspect'], true],
  ['joining, leaving and gone', ['joining', 'leaving', 'gone'], false],
  ['one of several', ['leaving', 'active'], true],
];

for (const [name, states, expected] of HEIRS) {
  test(`heirs: ${name}`, (t) => {
    const others = states.map((state, index) => ({ id: `other-${index}`, state }));
    t.is(hasHeirs('self', [{ id: 'self', state: 'active' }, ...others]), expected);
  });
}

test('a hand-over is complete when neither flows nor replicas are left', (t) => {
  t.true(isHandedOver({ left: 0, replicasLeft: 0 }));
  t.false(isHandedOver({ left: 1, replicasLeft: 0 }));
  t.false(isHandedOver({ left: 0, replicasLeft: 1 }));
});

interface StopCase {
  readonly name: string;
  readonly hasHeir: boolean;
  readonly left: number;
  /** A packet arrives at every look. */
  readonly isBusy: boolean;
  readonly steps: readonly string[];
}

const STOPS: readonly StopCase[] = [
  { name: 'no heir', hasHeir: false, left: 0, isBusy: false, steps: ['leave', 'noHeir'] },
  { name: 'complete', hasHeir: true, left: 0, isBusy: false, steps: ['leave', 'handOver', 'handedOver'] },
  {
    name: 'incomplete',
    hasHeir: true,
    left: 1,
    isBusy: false,
    steps: ['leave', 'handOver', 'handoverIncomplete'],
  },
  {
    name: 'packets until the end',
    hasHeir: true,
    left: 0,
    isBusy: true,
    steps: ['leave', 'handOver', 'handedOver', 'drainTimedOut'],
  },
];

function nameOf(event: EventDefinition): string {
  return Object.entries(DAEMON_EVENTS).find(([, each]) => each === event)?.[0] ?? '';
}

for (const { name, hasHeir, left, isBusy, steps } of STOPS) {
  test(`stop: ${name}`, async (t) => {
    const clock = new VirtualClock();
    const done: string[] = [];
    let packetsReceived = 0;
    const members = [{ id: 'self', state: 'active' }, ...(hasHeir ? [{ id: 'other', state: 'active' }] : [])];
    const components = {
      clock,
      identity: { id: 'self' },
      events: { emit: (event: EventDefinition) => done.push(nameOf(event)) },
      gate: {
        get packetsReceived() {
          return isBusy ? (packetsReceived += 1) : 0;
        },
      },
      controlPlane: { membership: { view: () => ({ members }), leave: () => done.push('leave') } },
      dataPlane: {
        forwarder: {
          statistics: () => ({ open: 0 }),
          handOver: async () => {
            done.push('handOver');
            return { left, replicasLeft: 0 };
          },
        },
      },
    } as unknown as Components;
    const stop = leaveAndHandOver(components, { quietMs: 1_000, maxMs: 5_000 });
    await clock.advanceAsync(10_000, 100);
    await stop;
    t.deepEqual(done, steps);
  });
}
