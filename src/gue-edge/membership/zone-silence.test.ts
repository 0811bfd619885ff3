/** When a zone counts as silent, and when no longer. */
import test from 'ava';
import { ZONE_MIN_MEMBERS, ZONE_WINDOW_MS } from './constants.js';
import { newRecord, type MemberRecord } from './member-record.js';
import { isZoneSilent, ZoneSilence } from './zone-silence.js';

const ENDPOINT = { host: '10.0.0.1', port: 1 };

function member(id: string, suspected: boolean): MemberRecord {
  const identity = { id, zone: 'a', control: ENDPOINT, admin: ENDPOINT, data: ENDPOINT };
  return { ...newRecord(identity, { incarnation: 1, refutation: 0 }, 'active', 0), suspected };
}

const SHARES: readonly (readonly [string, number, number, boolean])[] = [
  ['too few, though all', ZONE_MIN_MEMBERS - 1, ZONE_MIN_MEMBERS - 1, false],
  ['the fewest, all', ZONE_MIN_MEMBERS, ZONE_MIN_MEMBERS, true],
  ['more than half', 6, 11, true],
  ['exactly half', 6, 12, false],
  ['less than half', 5, 12, false],
  ['removed members still count', 4, 0, true],
];

for (const [name, silent, live, expected] of SHARES) {
  test(`silent: ${name}`, (t) =>
    t.is(
      isZoneSilent(silent, () => live),
      expected,
    ));
}

function silentZone(): ZoneSilence {
  const zones = new ZoneSilence();
  for (const id of ['1', '2', '3']) zones.note(member(id, true), () => 4, 0);
  return zones;
}

test('a silent zone is one event, and stays silent until its last failure is over', (t) => {
  const zones = silentZone();
  t.deepEqual([zones.isSilent('a'), zones.anySilent, zones.events], [true, true, 1]);
  zones.note(member('4', true), () => 4, 1);
  t.is(zones.events, 1);
  zones.note(member('1', false), () => 4, 2);
  zones.note(member('2', false), () => 4, 2);
  zones.refresh(2);
  t.true(zones.isSilent('a'), 'the share has fallen, but members are silent still');
  zones.refresh(ZONE_WINDOW_MS + 1);
  t.true(zones.isSilent('a'), 'the last one is within the window');
  zones.refresh(ZONE_WINDOW_MS + 2);
  t.false(zones.isSilent('a'));
});

test('failures that are spread over more than the window do not make a zone silent', (t) => {
  const zones = new ZoneSilence();
  ['1', '2', '3'].forEach((id, index) => zones.note(member(id, true), () => 3, index * ZONE_WINDOW_MS));
  t.false(zones.isSilent('a'));
});
