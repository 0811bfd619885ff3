import test from 'ava';
import fc from 'fast-check';
import { IP_UDP_HEADER_BYTES, MAC_BYTES, MAX_DATAGRAM_BYTES } from './constants.js';
import { messageWireBytes, openEnvelope, sealEnvelope, type ControlEnvelope } from './envelope.js';
import { KeyRing } from './key-ring.js';
import { CONTROL_KINDS, MAX_CONTROL_PAYLOAD_BYTES } from './types.js';

const RECIPIENT = '10.0.0.1:7000';

function keyRing(active: number, ids: readonly number[]): KeyRing {
  const keys = ids.map((id) => ({ id, secret: Buffer.alloc(32, id).toString('base64') }));
  return KeyRing.parse(JSON.stringify({ active, keys })).unwrapOrElse((error) => {
    throw error;
  });
}

const KEYS = keyRing(1, [1, 2]);
const SAMPLE: ControlEnvelope = {
  versionMin: 1,
  versionMax: 3,
  senderId: 'bal-0001',
  senderIncarnation: 1_700_000_000_123,
  sequence: 2 ** 33 + 5,
  wallSeconds: 1_700_000_000,
  kind: 'handover',
  payload: Buffer.from('payload'),
};

const envelopes = fc.record({
  versionMin: fc.integer({ min: 1, max: 3 }),
  versionMax: fc.integer({ min: 3, max: 9 }),
  senderId: fc.string({ minLength: 1, maxLength: 16 }),
  senderIncarnation: fc.maxSafeNat(),
  sequence: fc.integer({ min: 1, max: Number.MAX_SAFE_INTEGER }),
  wallSeconds: fc.integer({ min: 0, max: 0xffff_ffff }),
  kind: fc.constantFrom(...CONTROL_KINDS),
  payload: fc.uint8Array({ maxLength: MAX_CONTROL_PAYLOAD_BYTES }),
});

test('what is sealed is opened unchanged, by every key of the ring', (t) => {
  fc.assert(
    fc.property(envelopes, fc.constantFrom(1, 2), (envelope, active) => {
      const opened = openEnvelope(
        sealEnvelope(envelope, RECIPIENT, keyRing(active, [1, 2])),
        RECIPIENT,
        KEYS,
      );
      if (opened.outcome !== 'opened') return false;
      const { payload, ...rest } = opened.envelope;
      const { payload: sentPayload, ...sent } = envelope;
      t.deepEqual(rest, sent);
      return Buffer.from(payload).equals(Buffer.from(sentPayload));
    }),
    { seed: 1, numRuns: 200 },
  );
  t.pass();
});

test('any flipped bit, cut or other receiver is rejected', (t) => {
  const sealed = sealEnvelope(SAMPLE, RECIPIENT, KEYS);
  const accepted: string[] = [];
  for (let bit = 0; bit < sealed.length * 8; bit += 1) {
    const altered = Buffer.from(sealed);
    altered[bit >>> 3]! ^= 1 << (bit & 7);
    if (openEnvelope(altered, RECIPIENT, KEYS).outcome === 'opened') accepted.push(`bit ${bit}`);
  }
  for (let length = 0; length < sealed.length; length += 1) {
    if (openEnvelope(sealed.subarray(0, length), RECIPIENT, KEYS).outcome === 'opened')
      accepted.push(`cut ${length}`);
  }
  t.deepEqual(accepted, []);
  t.like(openEnvelope(sealed, '10.0.0.2:7000', KEYS), { fault: 'forged' });
  t.is(openEnvelope(sealed, RECIPIENT, KEYS).outcome, 'opened');
});

test('arbitrary bytes are rejected and never throw', (t) => {
  fc.assert(
    fc.property(
      fc.uint8Array({ maxLength: 200 }),
      (bytes) => openEnvelope(bytes, RECIPIENT, KEYS).outcome === 'rejected',
    ),
    { seed: 2, numRuns: 500 },
  );
  t.pass();
});

test('well signed but unsound envelopes are malformed', (t) => {
  const faults: Partial<ControlEnvelope>[] = [
    { senderId: '' },
    { senderId: 'x'.repeat(65) },
    { sequence: 0 },
    { versionMin: 4 },
    { senderIncarnation: 0.5 },
    { kind: 'no-such-kind' as never },
    { payload: Buffer.alloc(MAX_CONTROL_PAYLOAD_BYTES + 1) },
  ];
  for (const fault of faults) {
    const sealed = sealEnvelope({ ...SAMPLE, ...fault }, RECIPIENT, KEYS);
    t.like(openEnvelope(sealed, RECIPIENT, KEYS), { fault: 'malformed' }, JSON.stringify(Object.keys(fault)));
  }
  t.like(openEnvelope(sealEnvelope(SAMPLE, RECIPIENT, KEYS), RECIPIENT, keyRing(2, [2])), {
    fault: 'unknown-key',
  });
});

test('the largest message fits a frame, and the simulated size is the real one', (t) => {
  const payload = Buffer.alloc(MAX_CONTROL_PAYLOAD_BYTES);
  t.true(
    sealEnvelope({ ...SAMPLE, senderId: 'x'.repeat(64), payload }, RECIPIENT, KEYS).length <=
      MAX_DATAGRAM_BYTES,
  );
  for (const payloadBytes of [0, 10, 127, 128, 1_000]) {
    const envelope = { ...SAMPLE, sequence: 100_000, payload: Buffer.alloc(payloadBytes) };
    const sealed = sealEnvelope(envelope, RECIPIENT, KEYS);
    t.is(messageWireBytes(SAMPLE.senderId, payloadBytes), sealed.length + IP_UDP_HEADER_BYTES);
  }
  t.is(messageWireBytes('bal-0001', 100) - 100 - IP_UDP_HEADER_BYTES, 38 + MAC_BYTES);
});

test('key files', (t) => {
  const secret = Buffer.alloc(32, 7).toString('base64');
  const short = Buffer.alloc(8, 7).toString('base64');
  const faults: [name: string, text: string, problem: RegExp][] = [
    ['not JSON', 'secret', /is not JSON/],
    ['no keys', '{"active":1,"keys":[]}', /keys/],
    ['active missing', JSON.stringify({ active: 2, keys: [{ id: 1, secret }] }), /active key is not listed/],
    [
      'twice',
      JSON.stringify({
        active: 1,
        keys: [
          { id: 1, secret },
          { id: 1, secret },
        ],
      }),
      /listed twice/,
    ],
    ['short', JSON.stringify({ active: 1, keys: [{ id: 1, secret: short }] }), /too short/],
    ['id zero', JSON.stringify({ active: 0, keys: [{ id: 0, secret }] }), /active/],
    ['extra field', JSON.stringify({ active: 1, keys: [{ id: 1, secret }], note: 1 }), /note/],
  ];
  for (const [name, text, problem] of faults) {
    const parsed = KeyRing.parse(text);
    t.true(parsed.isErr, name);
    if (parsed.isErr) {
      t.regex(parsed.error.message, problem, name);
      t.false(parsed.error.message.includes(secret), name);
    }
  }
});
