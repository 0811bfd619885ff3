/**
 * What defines a field of the tree, and builders of definitions by kind of value.
 *
 * Owns the kinds of values. Relies on no other module of this folder for their meaning.
 */
import { z } from 'zod';
import type { Endpoint } from '../common/types.js';
import type { FieldValue } from './tree.js';

/**
 * Where a field may be set. `backend`: at any level, in force on back ends. `service`: down to services, in force on
 * services. `own-service` and `own-backend`: only on that kind of node and never inherited.
 */
type FieldScope = 'backend' | 'service' | 'own-service' | 'own-backend';

/** Definition of one field. */
export interface FieldDefinition {
  readonly name: string;
  /** Number on the wire; never reused. */
  readonly number: number;
  readonly scope: FieldScope;
  /** Unit of the value, e.g. `ms`; '' when it has none. */
  readonly unit: string;
  readonly schema: z.ZodType<FieldValue>;
  /** Value in force where no node sets the field; undefined: the field must be set. */
  readonly fallback: FieldValue | undefined;
  readonly description: string;
  /** Permitted values in words, for remedies. */
  readonly permitted: string;
  /** True when the value is a number. */
  readonly numeric: boolean;
}

/** One way to write each endpoint: no leading zeros, so that equal endpoints are equal texts. */
const ENDPOINT_PATTERN =
  /^((?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)){3}):([1-9]\d{0,4})$/;
const MAX_PORT = 65_535;

/** Reads `a.b.c.d:port`; undefined when it is not a numeric IPv4 endpoint with a port of 1 to 65535. */
export function parseEndpoint(text: string): Endpoint | undefined {
  const match = ENDPOINT_PATTERN.exec(text);
  const host = match?.[1];
  const port = Number(match?.[2]);
  return host !== undefined && port <= MAX_PORT ? { host, port } : undefined;
}

/** Schema of a text that `parseEndpoint` reads. */
function endpointSchema(): z.ZodType<FieldValue> {
  return z
    .string()
    .regex(ENDPOINT_PATTERN)
    .refine((text) => parseEndpoint(text) !== undefined, 'is not an IPv4 address and port');
}

const ENDPOINT_WORDS = 'a.b.c.d:port with a numeric IPv4 address and a port of 1 to 65535';

/** Bounds of a number, both included; whole unless `integer` is false. */
interface NumberRange {
  readonly from: number;
  readonly to: number;
  readonly integer?: boolean;
  readonly nullable?: boolean;
}

/** Parts of a definition that every builder takes as they are. */
type FieldTexts = Pick<FieldDefinition, 'name' | 'number' | 'scope' | 'unit' | 'fallback' | 'description'>;

/** A number within a range. */
export function numberField(texts: FieldTexts, range: NumberRange): FieldDefinition {
  const base = z.number().min(range.from).max(range.to);
  const number = range.integer === false ? base : base.int();
  const words = `${range.integer === false ? 'a number' : 'a whole number'} from ${range.from} to ${range.to}`;
  return {
    ...texts,
    numeric: true,
    schema: range.nullable ? number.nullable() : number,
    permitted: range.nullable ? `${words}, or null for no limit` : words,
  };
}

/** A share from 0 to 1. */
export function shareField(texts: Omit<FieldTexts, 'unit'>): FieldDefinition {
  return numberField({ ...texts, unit: 'share' }, { from: 0, to: 1, integer: false });
}

/** A whole number of milliseconds. */
export function durationField(texts: Omit<FieldTexts, 'unit'>, from: number, to: number): FieldDefinition {
  return numberField({ ...texts, unit: 'ms' }, { from, to });
}

/** An IPv4 address and port that only the node itself sets. */
export function endpointField(texts: Omit<FieldTexts, 'unit' | 'fallback'>): FieldDefinition {
  const schema = endpointSchema();
  return { ...texts, unit: '', fallback: undefined, schema, numeric: false, permitted: ENDPOINT_WORDS };
}
