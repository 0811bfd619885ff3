/** A message with the largest load report fits into one datagram. */
import test from 'ava';
import { MAX_BUSY_BACKENDS_PER_REPORT, TAG_MASK } from '../load/constants.js';
import {
  MAX_DATAGRAM_BYTES,
  READERS_PER_MESSAGE,
  BAD_ANSWERS_PER_MESSAGE,
  EJECTIONS_PER_MESSAGE,
} from './constants.js';
import { encodePeerMessage } from './message-codec.js';
import type { PeerMessage } from './types.js';

/** Bytes reserved for the fields that the message below omits: five peers and two confirmations. */
const OTHER_FIELDS_BYTES = 200;

test('the largest load report leaves room for the other fields of its message', (t) => {
  const message: PeerMessage = {
    type: 'news',
    senderId: 'frontend-halle-mitte-100',
    senderZone: 'halle-mitte',
    leaving: false,
    confirmations: {},
    peers: [],
    updates: [],
    departedCount: 200,
    unsettled: false,
    tableRevision: 1_000_000,
    readers: Array.from({ length: READERS_PER_MESSAGE + 1 }, (_, index) => ({
      id: `frontend-halle-mitte-10${index}`,
      confirmedAtMs: 0,
    })),
    suspicions: Array.from({ length: EJECTIONS_PER_MESSAGE }, (_, index) => ({
      backendId: `i-012345678${index}`,
      atMs: 0,
    })),
    badAnswers: Array.from({ length: BAD_ANSWERS_PER_MESSAGE }, (_, index) => ({
      backendId: `i-012345678${index}`,
      observer: 0xffff_ffff,
      atMs: 0,
    })),
    loads: [
      {
        page: 12,
        measuredAtMs: 0,
        validMs: 78_000,
        busy: Array.from({ length: MAX_BUSY_BACKENDS_PER_REPORT }, (_, index) => ({
          tag: TAG_MASK - index,
          level: 20,
        })),
      },
    ],
  };
  const { length } = encodePeerMessage(message, 60_000);
  t.true(length <= MAX_DATAGRAM_BYTES - OTHER_FIELDS_BYTES, `${length} bytes`);
});
