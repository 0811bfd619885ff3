/**
 * Cluster keys: one signs, all verify, so that keys can be rotated without a gap.
 *
 * File format (JSON): `{ "active": 2, "keys": [{ "id": 1, "secret": "<base64>" }, { "id": 2, "secret": "..." }] }`.
 * Rotation: add the new key everywhere, then make it active everywhere, then remove the old one everywhere.
 *
 * Owns nothing that changes: a reread of the key file makes a new ring. Relies on the file for which key signs.
 */
import { createHmac, createSecretKey, timingSafeEqual, type KeyObject } from 'node:crypto';
import { readFileSync } from 'node:fs';
import Result from 'true-myth/result';
import { z } from 'zod';
import { MAC_BYTES, MIN_SECRET_BYTES } from './constants.js';
import { ControlError } from './errors.js';

const keyFileSchema = z.strictObject({
  active: z.int().min(1).max(65_535),
  keys: z
    .array(z.strictObject({ id: z.int().min(1).max(65_535), secret: z.base64() }))
    .min(1)
    .max(16),
});

/** Outcome of checking a code: `unknown-key` when no key has the id. */
type Verification = 'valid' | 'forged' | 'unknown-key';

/** An immutable set of cluster keys. */
export class KeyRing {
  private constructor(
    /** Id of the key that signs. */
    readonly activeId: number,
    private readonly keys: ReadonlyMap<number, KeyObject>,
  ) {}

  /** Parses the text of a key file; err `control.key-file` says what is wrong, without any secret. */
  static parse(text: string): Result<KeyRing, ControlError> {
    let document: unknown;
    try {
      document = JSON.parse(text);
    } catch {
      return Result.err(keyFileError('is not JSON'));
    }
    const parsed = keyFileSchema.safeParse(document);
    if (!parsed.success) return Result.err(keyFileError(describeIssues(parsed.error)));
    const keys = new Map<number, KeyObject>();
    for (const { id, secret } of parsed.data.keys) {
      const bytes = Buffer.from(secret, 'base64');
      if (bytes.length < MIN_SECRET_BYTES) return Result.err(keyFileError(`key ${id} is too short`));
      if (keys.has(id)) return Result.err(keyFileError(`key ${id} is listed twice`));
      keys.set(id, createSecretKey(bytes));
    }
    if (!keys.has(parsed.data.active)) return Result.err(keyFileError('the active key is not listed'));
    return Result.ok(new KeyRing(parsed.data.active, keys));
  }

  /** Reads a key file; err `control.key-file`. */
  static load(path: string): Result<KeyRing, ControlError> {
    try {
      return KeyRing.parse(readFileSync(path, 'utf8'));
    } catch (cause) {
      return Result.err(keyFileError(`${path} cannot be read`, cause));
    }
  }

  /** Ids of all keys, ascending. */
  ids(): readonly number[] {
    return [...this.keys.keys()].sort((left, right) => left - right);
  }

  /** Code of `bytes` for the receiver named `recipient`, made with the active key. */
  sign(recipient: string, bytes: Uint8Array): Buffer {
    return authenticationCode(this.keys.get(this.activeId) as KeyObject, recipient, bytes);
  }

  /** Checks a code made with the key `keyId`, in constant time. */
  verify(keyId: number, recipient: string, bytes: Uint8Array, code: Uint8Array): Verification {
    const key = this.keys.get(keyId);
    if (!key) return 'unknown-key';
    const expected = authenticationCode(key, recipient, bytes);
    return code.length === MAC_BYTES && timingSafeEqual(expected, code) ? 'valid' : 'forged';
  }
}

/** The receiver's address is part of what is signed, so that a datagram cannot be replayed to another member. */
function authenticationCode(key: KeyObject, recipient: string, bytes: Uint8Array): Buffer {
  return createHmac('sha256', key)
    .update(`${recipient}\n`)
    .update(bytes)
    .digest()
    .subarray(0, MAC_BYTES) as Buffer;
}

function describeIssues(error: z.ZodError): string {
  return error.issues.map((issue) => `${issue.path.join('.') || 'document'}: ${issue.message}`).join('; ');
}

function keyFileError(problem: string, cause?: unknown): ControlError {
  return new ControlError(
    'control.key-file',
    `Key file: ${problem}`,
    `Write {"active": id, "keys": [{"id": 1–65535, "secret": base64 of at least ${MIN_SECRET_BYTES} bytes}]}`,
    { cause },
  );
}
