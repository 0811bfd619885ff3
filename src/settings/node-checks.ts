/**
 * Checks of single nodes: shape, path, field names, places and ranges.
 *
 * Owns the verdicts on nodes already checked. Relies on nodes being immutable.
 */
import type { FieldDefinition } from './field-types.js';
import { allowsField, fieldNamed, FIELD_DEFINITIONS } from './fields.js';
import type { SettingsFault, SettingsFaultKind } from './errors.js';
import { MAX_SEGMENT_LENGTH } from './constants.js';
import { kindOfPath, NODE_KINDS, type NodeKind, type TreeNode } from './tree.js';

const SEGMENT = `[A-Za-z0-9][A-Za-z0-9._-]{0,${MAX_SEGMENT_LENGTH - 1}}`;
const PATH_PATTERN = new RegExp(`^${SEGMENT}(?:/${SEGMENT})*$`);

const NO_FAULTS: readonly SettingsFault[] = [];

/** Makes a fault. */
export function fault(
  kind: SettingsFaultKind,
  place: { path: string; field?: string; value?: unknown },
  message: string,
  remedy: string,
): SettingsFault {
  const { path, field = '', value } = place;
  return { kind, nodePath: path, field, value, message, remedy };
}

/** True for a plain JSON object. */
export function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isValidPath(path: string): boolean {
  return path === '' || PATH_PATTERN.test(path);
}

/** Faults of an unknown value that make it unusable as a node; none when it has the shape of a node. */
export function checkNodeShape(value: unknown, position: number): SettingsFault[] {
  const malformed = (path: string, field: string, part: unknown, message: string): SettingsFault =>
    fault(
      'settings.malformed',
      { path, field, value: part },
      message,
      'Write a node as a map with path, kind and fields',
    );
  if (!isRecord(value)) return [malformed('', `nodes[${position}]`, value, 'is not a node')];
  const { path, kind, parent, fields } = value;
  if (typeof path !== 'string') return [malformed('', `nodes[${position}].path`, path, 'is not a string')];
  const faults: SettingsFault[] = [];
  if (!NODE_KINDS.some((known) => known === kind))
    faults.push(malformed(path, 'kind', kind, 'is not a kind of node'));
  if (parent !== undefined && typeof parent !== 'string') {
    faults.push(malformed(path, 'parent', parent, 'is not a string'));
  }
  if (!isRecord(fields)) faults.push(malformed(path, 'fields', fields, 'is not a map of fields'));
  return faults;
}

function checkPath(node: TreeNode): readonly SettingsFault[] {
  const place = { path: node.path, value: node.path };
  if (!isValidPath(node.path)) {
    const remedy = `Use letters, digits, dots, dashes and underscores, at most ${MAX_SEGMENT_LENGTH} a segment`;
    return [fault('settings.invalid-path', place, 'is not a valid path', remedy)];
  }
  if (kindOfPath(node.path) === node.kind) return NO_FAULTS;
  const remedy = 'Use site, site/service or site/service/backend; the defaults have the empty path';
  return [fault('settings.invalid-path', place, `does not fit a node of kind ${node.kind}`, remedy)];
}

function unknownField(node: TreeNode, field: string, value: unknown): SettingsFault {
  const names = FIELD_DEFINITIONS.filter((definition) => allowsField(node.kind, definition));
  const remedy = `Remove it or use one of: ${names.map((definition) => definition.name).join(', ')}`;
  return fault('settings.unknown-field', { path: node.path, field, value }, 'is not a known field', remedy);
}

const SCOPE_REMEDY: Record<FieldDefinition['scope'], string> = {
  backend: 'Set it at any level',
  service: 'Set it on the service, its site or the defaults',
  'own-service': 'Set it on a service',
  'own-backend': 'Set it on a back end',
};

function checkValue(node: TreeNode, definition: FieldDefinition, value: unknown): readonly SettingsFault[] {
  const place = { path: node.path, field: definition.name, value };
  const parsed = definition.schema.safeParse(value);
  if (parsed.success) return NO_FAULTS;
  const unit = definition.unit === '' ? '' : ` (${definition.unit})`;
  const remedy = `Use ${definition.permitted}${unit}`;
  if (definition.numeric && typeof value === 'number')
    return [fault('settings.out-of-range', place, 'is out of range', remedy)];
  return [fault('settings.invalid-value', place, 'is not a permitted value', remedy)];
}

function checkField(node: TreeNode, field: string, value: unknown): readonly SettingsFault[] {
  const definition = fieldNamed(field);
  if (!definition) return [unknownField(node, field, value)];
  if (!allowsField(node.kind, definition)) {
    const place = { path: node.path, field, value };
    const message = `may not be set on a node of kind ${node.kind}`;
    return [fault('settings.misplaced-field', place, message, SCOPE_REMEDY[definition.scope])];
  }
  return checkValue(node, definition, value);
}

const REQUIRED_FIELD: Partial<Record<NodeKind, string>> = { service: 'address', backend: 'endpoint' };

function checkRequired(node: TreeNode): readonly SettingsFault[] {
  const required = REQUIRED_FIELD[node.kind];
  if (required === undefined || Object.hasOwn(node.fields, required)) return NO_FAULTS;
  const place = { path: node.path, field: required };
  const remedy = `Set ${required} to ${fieldNamed(required)?.permitted ?? 'a value'}`;
  return [fault('settings.missing-field', place, 'is not set', remedy)];
}

const CHECKED = new WeakMap<TreeNode, readonly SettingsFault[]>();

/** All faults of a node taken alone. Nodes are immutable, so the result is remembered for each node object. */
export function checkNode(node: TreeNode): readonly SettingsFault[] {
  const known = CHECKED.get(node);
  if (known) return known;
  const found = [...checkPath(node), ...checkRequired(node)];
  for (const field of Object.keys(node.fields)) found.push(...checkField(node, field, node.fields[field]));
  const faults = found.length === 0 ? NO_FAULTS : found;
  CHECKED.set(node, faults);
  return faults;
}
