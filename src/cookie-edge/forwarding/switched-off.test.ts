/** Checks the behaviour of a forwarder with single mechanisms switched off, as in ablation runs. */
import test from 'ava';
import type { Mechanism } from '../../common/mechanisms.js';
import { HOUSEKEEPING_TICK_MS } from './constants.js';
import { backends, leaveOpeningsUnanswered, ForwarderHarness } from './cookie-test-support.js';

function harnessWithout(mechanism: Mechanism): ForwarderHarness {
  return new ForwarderHarness(undefined, 1, [mechanism]);
}

/** Leaves two openings at a back end unanswered while others respond, which ejects it. */
function ejectByUnansweredOpenings(harness: ForwarderHarness, id: string): void {
  for (let port = 1; port <= 6; port += 1) harness.establish(port);
  harness.clock.advance(10);
  leaveOpeningsUnanswered(harness, id, 2, 100);
  harness.clock.advance(200);
  harness.establish(900);
  harness.clock.advance(HOUSEKEEPING_TICK_MS);
}

test('with all mechanisms on, a back end that does not respond is ejected', (t) => {
  const harness = new ForwarderHarness().applyRecords(backends(2));
  ejectByUnansweredOpenings(harness, 'a');
  t.is(harness.forwarder.ejections, 1);
});

test('without passive health checks no back end is ejected', (t) => {
  const harness = harnessWithout('passive-health').applyRecords(backends(2));
  ejectByUnansweredOpenings(harness, 'a');
  t.is(harness.forwarder.ejections, 0);
});

test('without shared ejections the reports of peers are ignored', (t) => {
  const harness = harnessWithout('shared-ejections').applyRecords(backends(2));
  t.false(harness.forwarder.applyEjectionReport('a', harness.clock.now()));
});

test('without the stale-SYN guard a SYN that waited through a pause is placed', (t) => {
  const harness = harnessWithout('old-opening-guard').applyRecords(backends(2));
  harness.stop();
  harness.clock.advance(5_000);
  t.truthy(harness.open(1));
});

test('without counting closed flows a back end without long flows gets every short flow', (t) => {
  const harness = harnessWithout('closed-flows').applyRecords(backends(2));
  for (let port = 1; port <= 12; port += 1) harness.establish(port);
  harness.applyRecords(backends(3), {}, 12);
  for (let port = 1_000; port < 1_020; port += 1) {
    const { backend, cookie } = harness.establish(port);
    t.is(backend, 'c');
    harness.clock.advance(50);
    harness.sendMidFlow(port, cookie, { fin: true });
  }
});
