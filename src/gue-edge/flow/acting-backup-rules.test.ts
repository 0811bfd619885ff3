import test from 'ava';
import { actsAsBackup, mayOpenAsBackup, mayReconstruct } from './acting-backup-rules.js';

const sure = { trusted: true, quorate: true, fresh: true, keeperState: 'suspect' } as const;
const ACTING = [
  ['keeper suspect', {}, true],
  ['keeper gone', { keeperState: 'gone' }, true],
  ['keeper not in the view', { keeperState: undefined }, true],
  ['keeper active', { keeperState: 'active' }, false],
  ['keeper leaving', { keeperState: 'leaving' }, false],
  ['keeper joining', { keeperState: 'joining' }, false],
  ['replica doubtful', { trusted: false }, false],
  ['in a minority', { quorate: false }, false],
  ['after a pause', { fresh: false }, false],
] as const;
for (const [name, change, expected] of ACTING) {
  test(`acting as backup: ${name}`, (t) => t.is(actsAsBackup({ ...sure, ...change }), expected));
}

const UNRECORDED = [
  ['surely the backup', false, false, true, true, true],
  ['lapsed', false, true, false, true, false],
  ['lapsed and surely the backup', false, true, true, true, false],
  ['doubtful', false, false, false, false, false],
  ['handed on', true, true, true, false, false],
] as const;
for (const [name, handedOn, lapsed, surely, reconstructs, opens] of UNRECORDED) {
  test(`flow without a record: ${name}`, (t) => {
    const surelyBackup = () => surely;
    t.is(mayReconstruct({ handedOn, lapsed, surelyBackup }), reconstructs);
    t.is(mayOpenAsBackup(lapsed, surelyBackup), opens);
  });
}
