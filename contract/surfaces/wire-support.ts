/** What the surfaces of wire formats share: bytes as hex digits, and values in a form that JSON holds without loss. */

/** Bytes as lower-case hex digits. */
export function toHex(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('hex');
}

/** The bytes that hex digits stand for; spaces between them are left out. */
export function fromHex(digits: string): Buffer {
  return Buffer.from(digits.replaceAll(' ', ''), 'hex');
}

/** The value with bytes as hex digits and numbers that JSON lacks as text; undefined fields are left out. */
export function toPlain(value: unknown): unknown {
  if (value instanceof Uint8Array) return { hex: toHex(value) };
  if (typeof value === 'number') return Number.isFinite(value) ? value : String(value);
  if (Array.isArray(value)) return value.map(toPlain);
  if (typeof value !== 'object' || value === null) return value;
  const fields = Object.entries(value).filter(([, field]) => field !== undefined);
  return Object.fromEntries(fields.map(([name, field]) => [name, toPlain(field)]));
}

/** What was encoded, and what its decoder makes of it. */
export function encodedAndDecoded(bytes: Uint8Array, decode: (bytes: Uint8Array) => unknown): unknown {
  return { hex: toHex(bytes), decoded: toPlain(decode(bytes)) };
}

/** Applies `convert` to each value of an object. */
export function mapValues<Value>(
  values: Readonly<Record<string, Value>>,
  convert: (value: Value, name: string) => unknown,
): Record<string, unknown> {
  return Object.fromEntries(Object.entries(values).map(([name, value]) => [name, convert(value, name)]));
}

/** What `action` returns, or that it throws: the names of errors are not on the wire. */
export function outcomeOf(action: () => unknown): unknown {
  try {
    return toPlain(action());
  } catch {
    return { throws: true };
  }
}
