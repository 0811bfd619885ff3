import test from 'ava';
import fc from 'fast-check';
import { hashString } from '../../common/hash.js';
import { LIFECYCLES, newRecord, type MemberIdentity, type MemberRecord } from './member-record.js';
import { decodeEntry, decodeMessage, encodeEntry } from './wire.js';

const IDENTITY: MemberIdentity = {
  id: 'bal-nord-017',
  zone: 'halle-nord',
  control: { host: '10.1.2.3', port: 7_000 },
  admin: { host: '10.1.2.3', port: 9_000 },
  data: { host: '10.1.2.3', port: 65_535 },
};

const endpoints = fc.record({
  host: fc.ipV4(),
  port: fc.integer({ min: 1, max: 65_535 }),
});
const records: fc.Arbitrary<MemberRecord> = fc
  .record({
    identity: fc.record({
      id: fc.string({ minLength: 1, maxLength: 20 }),
      zone: fc.string({ maxLength: 20 }),
      control: endpoints,
      admin: endpoints,
      data: endpoints,
    }),
    incarnation: fc.maxSafeNat(),
    refutation: fc.nat(),
    lifecycle: fc.constantFrom(...LIFECYCLES),
    suspected: fc.boolean(),
  })
  .map(({ identity, lifecycle, suspected, ...version }) => ({
    ...newRecord(identity, version, lifecycle, 0),
    suspected,
  }));

test('an entry is decoded as it was encoded, in the short and in the full form', (t) => {
  fc.assert(
    fc.property(records, fc.boolean(), (record, introduce) => {
      const news = decodeEntry(encodeEntry(record, introduce, 7), hashString);
      const { idHash, incarnation, refutation, lifecycle, suspected } = record;
      const identity = introduce ? record.identity : undefined;
      const accuserHash = suspected ? 7 : 0;
      t.deepEqual(news, { idHash, identity, incarnation, refutation, lifecycle, suspected, accuserHash });
    }),
    { seed: 1, numRuns: 300 },
  );
});

test('arbitrary bytes never throw', (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 100 }), (bytes) => {
      decodeMessage(bytes);
      const news = decodeEntry(bytes, hashString);
      return news === undefined || LIFECYCLES.includes(news.lifecycle);
    }),
    { seed: 2, numRuns: 1_000 },
  );
  t.is(decodeEntry(Uint8Array.of(0x38, 7), hashString), undefined, 'a lifecycle that does not exist');
});

test('entries are compact', (t) => {
  const record = newRecord(IDENTITY, { incarnation: 1_700_000_000_123, refutation: 0 }, 'active', 0);
  const refuted = { ...record, refutation: 3 };
  t.is(encodeEntry(record, true).length, 49);
  t.is(encodeEntry(record, false).length, 16);
  t.is(encodeEntry({ ...refuted, suspected: true }, false, 0xffff_ffff).length, 23);
});
