import test from 'ava';
import { KeeperLink } from './keeper-link.js';

test('batches of a link are applied once, in order, and copies get the same answer', (t) => {
  const link = new KeeperLink(1, 0);
  t.is(link.receive(1, 2), 'ignore', 'out of order');
  t.is(link.receive(1, 1), 'apply');
  t.is(link.receive(1, 1), 'apply', 'it was not acknowledged, because back ends were missing');
  const ack = { sequence: 1, session: 1 };
  link.acknowledge(1, ack);
  t.deepEqual(link.receive(1, 1), { acknowledged: ack });
  t.is(link.receive(1, 2), 'apply');
});

test('a newer session numbers its batches anew and voids the older one', (t) => {
  const link = new KeeperLink(1, 0);
  link.receive(1, 1);
  link.acknowledge(1, { sequence: 1, session: 1 });
  t.is(link.receive(2, 2), 'ignore');
  t.is(link.receive(2, 1), 'apply');
  t.is(link.receive(1, 2), 'ignore');
});

test('a link has lapsed until its keeper reaches a newer generation', (t) => {
  const link = new KeeperLink(1, 0);
  t.false(link.lapsed);
  link.lapsedGeneration = link.generation;
  t.true(link.lapsed);
  link.generation += 1;
  t.false(link.lapsed);
});
