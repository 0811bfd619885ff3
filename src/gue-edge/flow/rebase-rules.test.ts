import test from 'ava';
import { isRebaseDue, rebaseObstacle } from './rebase-rules.js';

const READY = {
  quorate: true,
  serving: true,
  rebasing: false,
  syncing: false,
  handingOn: false,
  complete: true,
  learnedMs: 0,
  learningMs: 100,
  formerBackupHasLetGo: () => true,
  isCovered: () => true,
};
const STARTS = [
  [{}, undefined],
  [{ quorate: false }, 'no-quorum'],
  [{ serving: false }, 'not-serving'],
  [{ rebasing: true }, 'rebasing'],
  [{ syncing: true }, 'syncing'],
  [{ handingOn: true }, 'handing-on'],
  [{ complete: false, learnedMs: 99 }, 'learning'],
  [{ complete: false, learnedMs: 100 }, undefined],
  [{ formerBackupHasLetGo: () => false }, 'former-backup'],
  [{ isCovered: () => false }, 'no-lease'],
] as const;
for (const [index, [change, expected]] of STARTS.entries()) {
  test(`start of a rebase ${index}: ${expected ?? 'may start'}`, (t) => {
    t.is<string | undefined, string | undefined>(rebaseObstacle({ ...READY, ...change }), expected);
  });
}

const CURRENT = {
  acquiring: false,
  baseVersion: 3,
  currentVersion: 3,
  complete: true,
  hasSeenAllFlows: true,
};
const NEEDS = [
  ['current and complete', {}, false],
  ['a newer base', { currentVersion: 4 }, true],
  ['awaited', { currentVersion: 4, acquiring: true }, false],
  ['incomplete, flows unseen', { complete: false, hasSeenAllFlows: false }, false],
  ['incomplete, all flows seen', { complete: false }, true],
] as const;
for (const [name, change, expected] of NEEDS) {
  test(`need of a rebase: ${name}`, (t) => t.is(isRebaseDue({ ...CURRENT, ...change }), expected));
}
