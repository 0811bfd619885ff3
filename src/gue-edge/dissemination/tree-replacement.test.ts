/** Which tree may take the place of the one in force, and which is fetched. */
import test from 'ava';
import { NO_TREE, type TreeStamp } from './stamp.js';
import {
  judgeFetch,
  judgeReplacement,
  mayReplace,
  type FetchVerdict,
  type HeldTree,
  type ReplacementVerdict,
} from './tree-replacement.js';

function stamp(version: number, digest = 'a', readerToken = 1): TreeStamp {
  return { version, readerToken, digest, acceptedAtWallMs: 0, nodeCount: 0 };
}

function held(version: number, isCorrupt = false): HeldTree {
  return { stamp: stamp(version), isCorrupt };
}

const REPLACEMENTS: readonly (readonly [string, TreeStamp, HeldTree, ReplacementVerdict, boolean])[] = [
  ['the first tree', stamp(1), undefined, 'first', true],
  ['a member without a tree, before the first', NO_TREE, undefined, 'none', false],
  ['a member without a tree', NO_TREE, held(3), 'not-newer', false],
  ['a later version', stamp(4), held(3), 'newer', true],
  ['the same tree', stamp(3), held(3), 'not-newer', false],
  ['the same tree under a later lease', stamp(3, 'a', 9), held(3), 'not-newer', false],
  ['another tree of the version under a later lease', stamp(3, 'b', 9), held(3), 'newer', true],
  ['an earlier version', stamp(2), held(3), 'not-newer', false],
  ['the same version, held corrupt', stamp(3), held(3, true), 'repair', true],
  ['a later version, held corrupt', stamp(4), held(3, true), 'repair', true],
  ['an earlier version, held corrupt', stamp(2), held(3, true), 'older-than-corrupt', false],
];

for (const [name, candidate, tree, verdict, replaces] of REPLACEMENTS) {
  test(`replacement: ${name}`, (t) => {
    t.is(judgeReplacement(candidate, tree), verdict);
    t.is(mayReplace(judgeReplacement(candidate, tree)), replaces);
  });
}

const FETCHES: readonly (readonly [string, TreeStamp, boolean, FetchVerdict])[] = [
  ['a later version', stamp(4), false, 'fetch'],
  ['a later version found faulty before', stamp(4), true, 'rejected'],
  ['an earlier version', stamp(2), false, 'not-needed'],
];

for (const [name, candidate, wasRejected, verdict] of FETCHES) {
  test(`fetch: ${name}`, (t) => t.is(judgeFetch(candidate, held(3), wasRejected), verdict));
}
