import test from 'ava';
import { tableAt } from './routing-test-support.js';
import { compareEpochs, isBefore, supersedes, type SourcePosition } from './source-epoch.js';

const POSITION_CASES: readonly (readonly [SourcePosition, SourcePosition, boolean])[] = [
  [{ revision: 4 }, { revision: 5 }, true],
  [{ revision: 5 }, { revision: 5 }, false],
  [{ revision: 21 }, { epoch: 1, revision: 17 }, true],
  [{ epoch: 1, revision: 17 }, { revision: 21 }, false],
  [{ epoch: 0, revision: 3 }, { revision: 3 }, false],
  [{ epoch: 2, revision: 9 }, { epoch: 2, revision: 10 }, true],
];

for (const [left, right, expected] of POSITION_CASES) {
  test(`${JSON.stringify(left)} is ${expected ? '' : 'not '}before ${JSON.stringify(right)}`, (t) => {
    t.is(isBefore(left, right), expected);
  });
}

test('a missing epoch counts as 0', (t) => {
  t.is(compareEpochs({}, { epoch: 0 }), 'same');
  t.is(compareEpochs({ epoch: 1 }, {}), 'later');
  t.is(compareEpochs({}, { epoch: 1 }), 'earlier');
});

/** A table's epoch, revision and version; the same of the table in force; whether the former replaces the latter. */
const TABLE_CASES: readonly (readonly [readonly number[], readonly number[], boolean])[] = [
  [[0, 9, 24], [0, 8, 23], true],
  [[0, 9, 23], [0, 8, 24], false],
  [[0, 8, 24], [0, 8, 24], false],
  [[1, 17, 24], [0, 21, 24], true],
  [[1, 16, 16], [0, 21, 24], false],
  [[1, 19, 27], [0, 21, 24], true],
  [[0, 21, 24], [1, 16, 16], true],
  [[0, 21, 24], [1, 17, 24], false],
];

for (const [
  [epoch, revision, version],
  [epochInForce, revisionInForce, versionInForce],
  expected,
] of TABLE_CASES) {
  const name = `version ${version} of epoch ${epoch}, revision ${revision}`;
  const inForce = `version ${versionInForce} of epoch ${epochInForce}, revision ${revisionInForce}`;
  test(`${name} ${expected ? 'replaces' : 'does not replace'} ${inForce}`, (t) => {
    const tableInForce = tableAt(revisionInForce!, { version: versionInForce, epoch: epochInForce });
    t.is(supersedes(tableAt(revision!, { version, epoch }), tableInForce), expected);
  });
}
