/**
 * Compact protobuf form of nodes and deltas, for messages between balancers.
 *
 * Owns the wire numbers of pseudo fields. Relies on `fields.ts` for those of real fields; fields of newer releases
 * survive by their number.
 */
import Result from 'true-myth/result';
import { TreeError } from './errors.js';
import { parseEndpoint } from './field-types.js';
import { fieldNamed, fieldNumbered } from './fields.js';
import { sailquay } from './pb/tree.js';
import {
  NODE_KIND_FIELD,
  NODE_KINDS,
  NODE_PARENT_FIELD,
  type FieldValue,
  type TreeChange,
  type TreeDelta,
  type TreeNode,
} from './tree.js';

const { Node, Delta } = sailquay.settings;

type FieldEntry = sailquay.settings.IFieldEntry;

/** Wire numbers of the pseudo fields, above those of real fields. */
const PSEUDO_FIELD_NUMBERS = new Map([
  [NODE_KIND_FIELD, 1_000],
  [NODE_PARENT_FIELD, 1_001],
]);
const PSEUDO_FIELD_NAMES = new Map([...PSEUDO_FIELD_NUMBERS].map(([name, number]) => [number, name]));

/** Prefix of the name under which a field of a newer release is kept when only its number is known. */
const UNKNOWN_FIELD_PREFIX = '#';
const UNKNOWN_FIELD_PATTERN = /^#(\d{1,6})$/;

const ENDPOINT_BYTES = 6;
const MAX_WIRE_INTEGER = 0x7fff_ffff;
const MIN_WIRE_INTEGER = -0x8000_0000;

function encodeEndpoint(text: string): Uint8Array | undefined {
  const endpoint = parseEndpoint(text);
  if (!endpoint || `${endpoint.host}:${endpoint.port}` !== text) return undefined;
  const bytes = Buffer.alloc(ENDPOINT_BYTES);
  endpoint.host.split('.').forEach((octet, index) => bytes.writeUInt8(Number(octet), index));
  bytes.writeUInt16BE(endpoint.port, 4);
  return bytes;
}

function decodeEndpoint(bytes: Uint8Array): string {
  if (bytes.length !== ENDPOINT_BYTES) throw new RangeError(`an endpoint of ${bytes.length} bytes`);
  const [first, second, third, fourth, high = 0, low = 0] = bytes;
  return `${first}.${second}.${third}.${fourth}:${high * 256 + low}`;
}

function isWireInteger(value: number): boolean {
  if (Object.is(value, -0)) return false;
  return Number.isInteger(value) && value >= MIN_WIRE_INTEGER && value <= MAX_WIRE_INTEGER;
}

function encodeValue(value: FieldValue | undefined): FieldEntry {
  if (value === undefined) return {};
  if (value === null) return { unlimited: true };
  if (typeof value === 'boolean') return { flag: value };
  if (typeof value === 'number') return isWireInteger(value) ? { integer: value } : { decimal: value };
  const endpoint = encodeEndpoint(value);
  return endpoint ? { endpoint } : { text: value };
}

function encodeName(name: string): FieldEntry {
  const unknown = UNKNOWN_FIELD_PATTERN.exec(name)?.[1];
  const number = fieldNamed(name)?.number ?? PSEUDO_FIELD_NUMBERS.get(name) ?? (unknown && Number(unknown));
  return number ? { number } : { name };
}

function encodeField(name: string, value: FieldValue | undefined): FieldEntry {
  return { ...encodeName(name), ...encodeValue(value) };
}

function decodeName(entry: FieldEntry): string {
  const number = entry.number ?? 0;
  if (number === 0) return entry.name ?? '';
  return fieldNumbered(number)?.name ?? PSEUDO_FIELD_NAMES.get(number) ?? `${UNKNOWN_FIELD_PREFIX}${number}`;
}

/** Reads the value of a field by the kind that its entry names; protobuf leaves out zero, false and empty ones. */
const VALUE_DECODERS: Readonly<
  Record<
    NonNullable<sailquay.settings.FieldEntry['value']>,
    (entry: sailquay.settings.FieldEntry) => FieldValue
  >
> = {
  text: (entry) => entry.text ?? '',
  integer: (entry) => entry.integer ?? 0,
  decimal: (entry) => entry.decimal ?? 0,
  flag: (entry) => entry.flag ?? false,
  unlimited: () => null,
  endpoint: (entry) => decodeEndpoint(entry.endpoint ?? new Uint8Array()),
};

function decodeValue(entry: sailquay.settings.FieldEntry): FieldValue | undefined {
  return entry.value === undefined ? undefined : VALUE_DECODERS[entry.value](entry);
}

function badMessage(what: string, cause: unknown): TreeError {
  const remedy = 'Check that all balancers run releases that work together';
  return new TreeError('settings.bad-message', `A received ${what} cannot be read`, remedy, { cause });
}

/** Encodes one node with the fields that it sets itself, sorted by name: equal nodes give equal bytes. */
export function encodeNode(node: TreeNode): Uint8Array {
  const names = Object.keys(node.fields).sort();
  const fields = names.map((name) => encodeField(name, node.fields[name]));
  const message = {
    path: node.path,
    kind: NODE_KINDS.indexOf(node.kind),
    hasParent: node.parent !== undefined,
    parent: node.parent ?? '',
    fields,
  };
  return Node.encode(message).finish();
}

/** Decodes a node; error `settings.bad-message`. Fields of newer releases are kept as `#number`. */
export function decodeNode(bytes: Uint8Array): Result<TreeNode, TreeError> {
  try {
    const message = Node.decode(bytes);
    const kind = NODE_KINDS[message.kind];
    if (!kind) return Result.err(badMessage('node', new RangeError(`kind ${message.kind}`)));
    const entries = message.fields.map((entry) => {
      const read = entry as sailquay.settings.FieldEntry;
      return [decodeName(read), decodeValue(read)] as const;
    });
    const fields = Object.fromEntries(entries.filter(([, value]) => value !== undefined));
    const node = { path: message.path, kind, fields: fields as Record<string, FieldValue> };
    return Result.ok(message.hasParent ? { ...node, parent: message.parent } : node);
  } catch (cause) {
    return Result.err(badMessage('node', cause));
  }
}

/** Changes of one node that the receiver needs: a removal makes those before it and its field changes needless. */
function neededChanges(changes: readonly TreeChange[]): readonly TreeChange[] {
  const isRemoval = (change: TreeChange): boolean =>
    change.field === NODE_KIND_FIELD && change.after === undefined;
  const last = changes.findLastIndex(isRemoval);
  if (last < 0) return changes;
  const later = changes.slice(last + 1);
  const addedAgain = later.some((change) => change.field === NODE_KIND_FIELD);
  return addedAgain ? changes.slice(last) : changes.slice(last, last + 1);
}

function groupByPath(changes: readonly TreeChange[]): Map<string, TreeChange[]> {
  const groups = new Map<string, TreeChange[]>();
  for (const change of changes) {
    const group = groups.get(change.path);
    if (group) group.push(change);
    else groups.set(change.path, [change]);
  }
  return groups;
}

/** Encodes a delta. The values before the changes are left out; `applyChanges` does not need them. */
export function encodeDelta(delta: TreeDelta): Uint8Array {
  const nodes = [...groupByPath(delta.changes)].map(([path, changes]) => ({
    path,
    fields: neededChanges(changes).map((change) => encodeField(change.field, change.after)),
  }));
  return Delta.encode({ nodes }).finish();
}

/** Decodes a delta; error `settings.bad-message`. */
export function decodeDelta(bytes: Uint8Array): Result<TreeDelta, TreeError> {
  try {
    const changes = Delta.decode(bytes).nodes.flatMap((node) =>
      (node.fields ?? []).map((entry): TreeChange => {
        const read = entry as sailquay.settings.FieldEntry;
        return { path: node.path ?? '', field: decodeName(read), after: decodeValue(read) };
      }),
    );
    return Result.ok({ changes });
  } catch (cause) {
    return Result.err(badMessage('delta', cause));
  }
}
