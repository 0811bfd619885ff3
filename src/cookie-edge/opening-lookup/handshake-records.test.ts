import test from 'ava';
import { VirtualClock } from '../../common/clock.js';
import {
  MAX_HANDSHAKE_RECORDS,
  MAX_RECORD_ADVANCE_BYTES,
  MAX_RECORDS_PER_MESSAGE,
  ROUND_BURST,
  ROUNDS_PER_SECOND,
} from './constants.js';
import { HandshakeRecords } from './handshake-records.js';
import { HandshakeReplicator } from './handshake-replicator.js';
import type { HandshakeRecord } from './types.js';

const RETENTION_MS = 60_000;
const RECORD: HandshakeRecord = {
  sourceAddress: 1,
  sourcePort: 40_001,
  destinationAddress: 2,
  destinationPort: 443,
  backendId: 'a',
  acknowledgement: 0xffff_fff0,
};

test('a record is found by acknowledgements near its own until it expires', (t) => {
  const records = new HandshakeRecords(RETENTION_MS);
  records.add(RECORD, 0);
  t.is(records.find(RECORD, RECORD.acknowledgement, 1), RECORD);
  t.is(records.find(RECORD, 16, 1), RECORD, 'acknowledgements wrap around');
  t.is(records.find(RECORD, RECORD.acknowledgement + MAX_RECORD_ADVANCE_BYTES + 1, 1), undefined);
  t.is(records.find({ ...RECORD, sourcePort: 1 }, RECORD.acknowledgement, 1), undefined);
  t.is(records.find(RECORD, RECORD.acknowledgement, RETENTION_MS), undefined);
  t.deepEqual(records.all(1), [RECORD]);
  t.deepEqual(records.all(RETENTION_MS), []);
});

test('a later record replaces an earlier one, and the oldest is dropped if there are too many', (t) => {
  const records = new HandshakeRecords(RETENTION_MS);
  const later = { ...RECORD, backendId: 'b' };
  records.add(RECORD, 0);
  records.add(later, 1);
  t.is(records.find(RECORD, RECORD.acknowledgement, 2), later);
  for (let port = 0; port < MAX_HANDSHAKE_RECORDS; port += 1) records.add({ ...RECORD, sourcePort: port }, 2);
  t.is(records.find(RECORD, RECORD.acknowledgement, 2), undefined);
  t.is(records.all(2).length, MAX_HANDSHAKE_RECORDS);
});

/** Replicates `count` records at once; returns the number of records in each message of the next `seconds`. */
function replicate(count: number, seconds: number): number[] {
  const clock = new VirtualClock();
  const messages: number[] = [];
  const shareHandshakes = (records: readonly HandshakeRecord[]): void => {
    messages.push(records.length);
  };
  const replicator = new HandshakeReplicator({ clock, peers: { shareHandshakes } });
  for (let port = 0; port < count; port += 1) replicator.replicate({ ...RECORD, sourcePort: port });
  clock.advance(seconds * 1_000);
  replicator.stop();
  return messages;
}

test('records of a wave of moves share messages', (t) => {
  t.deepEqual(replicate(5, 1), [5]);
});

test('the messages of a large wave are limited to a burst and a rate, and no record is left out', (t) => {
  const count = (ROUND_BURST + 2 * ROUNDS_PER_SECOND) * MAX_RECORDS_PER_MESSAGE;
  const messages = replicate(count, 1);
  t.true(messages.length <= ROUND_BURST + ROUNDS_PER_SECOND, String(messages.length));
  const total = replicate(count, 5).reduce((sum, records) => sum + records, 0);
  t.is(total, count);
});
