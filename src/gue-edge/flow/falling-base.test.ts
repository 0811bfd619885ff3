/**
 * Guards against a shard whose base falls, so that a flow without a record is looked for at another back end. Random
 * interleavings as in model-check.test.ts, each of which failed.
 */
import test from 'ava';
import { checkMix } from './model-check-test-support.js';

const PAUSES_AND_CUTS = {
  rareKinds: ['pause-long', 'partition'],
  rareIntervalMs: 13_000,
  durationMs: 60_000,
} as const;

test.serial(
  'a replica that waited in the socket of a paused backup is not handed on in place of the newer one',
  (t) => checkMix(t, { ...PAUSES_AND_CUTS, name: 'pauses and cuts', nodes: 5, seeds: [22_006, 35_028] }),
);

test.serial(
  'a keeper that gives an unacknowledged shard back had not taken a newer base than its sender, 5 nodes',
  (t) => checkMix(t, { ...PAUSES_AND_CUTS, name: 'pauses and cuts', nodes: 5, seeds: [22_012] }),
);

test.serial('a keeper that stepped down does not get its shard back with an older base than it had', (t) =>
  checkMix(t, { ...PAUSES_AND_CUTS, name: 'pauses and cuts', nodes: 7, seeds: [42_059] }),
);

test.serial(
  'a keeper that gives an unacknowledged shard back had not taken a newer base than its sender, 7 nodes',
  (t) => checkMix(t, { ...PAUSES_AND_CUTS, name: 'pauses and cuts', nodes: 7, seeds: [37_004] }),
);
