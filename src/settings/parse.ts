/**
 * Reading of settings files: YAML or JSON, in the nested form that people write or the flat list of nodes.
 * Parsing judges only the shape; `validateDocument` judges the rest, so that all faults come at once.
 *
 * Owns the nested form of files. Relies on `validate.ts` for everything but the shape.
 */
import Result from 'true-myth/result';
import { LineCounter, parseDocument } from 'yaml';
import type { SettingsFault } from './errors.js';
import { fault, isRecord } from './node-checks.js';
import { withNodes, type FieldValue, type NodeKind, type TreeDocument, type TreeNode } from './tree.js';
import { validateDocument } from './validate.js';

const CHILD_MAP: Partial<Record<NodeKind, { readonly key: string; readonly kind: NodeKind }>> = {
  site: { key: 'services', kind: 'service' },
  service: { key: 'backends', kind: 'backend' },
};

const TOP_KEYS = ['defaults', 'sites'];
const GROUPS = ['limits', 'health'];

class NestedReader {
  readonly nodes: TreeNode[] = [];
  readonly faults: SettingsFault[] = [];

  readDocument(value: Record<string, unknown>): void {
    for (const key of Object.keys(value).filter((name) => !TOP_KEYS.includes(name))) {
      const place = { path: '', field: key, value: value[key] };
      this.faults.push(fault('settings.unknown-field', place, 'is not known here', 'Use defaults and sites'));
    }
    this.readNode('', 'defaults', value['defaults'] ?? {});
    this.readChildren('', 'site', 'sites', value['sites']);
  }

  private readNode(path: string, kind: NodeKind, value: unknown): void {
    if (!isRecord(value)) {
      this.malformed(path, '', value);
      return;
    }
    const child = CHILD_MAP[kind];
    const { parent, ...rest } = value;
    const fields: [string, FieldValue][] = [];
    for (const [key, part] of Object.entries(rest)) {
      if (key === child?.key) continue;
      fields.push(...this.readField(path, key, part));
    }
    const node = { path, kind, fields: Object.fromEntries(fields) };
    if (parent === undefined) this.nodes.push(node);
    else if (typeof parent === 'string') this.nodes.push({ ...node, parent });
    else this.malformed(path, 'parent', parent);
    if (child) this.readChildren(path, child.kind, child.key, value[child.key]);
  }

  private readChildren(path: string, kind: NodeKind, key: string, value: unknown): void {
    if (value === undefined || value === null) return;
    if (!isRecord(value)) {
      this.malformed(path, key, value);
      return;
    }
    for (const [name, part] of Object.entries(value)) {
      this.readNode(path === '' ? name : `${path}/${name}`, kind, part ?? {});
    }
  }

  private readField(path: string, key: string, value: unknown): [string, FieldValue][] {
    if (GROUPS.includes(key) && isRecord(value)) {
      return Object.entries(value).flatMap(([name, part]) => this.readField(path, `${key}.${name}`, part));
    }
    if (value === null || ['string', 'number', 'boolean'].includes(typeof value)) {
      return [[key, value as FieldValue]];
    }
    this.malformed(path, key, value);
    return [];
  }

  private malformed(path: string, field: string, value: unknown): void {
    const remedy = 'Write a map of fields, and a single value for each field';
    this.faults.push(fault('settings.malformed', { path, field, value }, 'has the wrong shape', remedy));
  }
}

/** Reads a nested or flat value and checks the whole tree; the faults are all there are. */
export function parseTree(value: unknown): Result<TreeDocument, SettingsFault[]> {
  if (isRecord(value) && Array.isArray(value['nodes'])) {
    const faults = validateDocument(value);
    if (faults.length > 0) return Result.err(faults);
    return Result.ok(withNodes({ nodes: [], edits: [] }, value['nodes'] as TreeNode[]));
  }
  if (!isRecord(value)) {
    const remedy = 'Write a map with defaults and sites; see examples/';
    return Result.err([fault('settings.malformed', { path: '', value }, 'is not a settings tree', remedy)]);
  }
  const reader = new NestedReader();
  reader.readDocument(value);
  const faults = [...reader.faults, ...validateDocument({ nodes: reader.nodes })];
  if (faults.length > 0) return Result.err(faults);
  return Result.ok(withNodes({ nodes: [], edits: [] }, reader.nodes));
}

/** Reads a settings file's text (YAML, which JSON is a part of). Syntax errors name their line and column. */
export function parseTreeText(text: string): Result<TreeDocument, SettingsFault[]> {
  const lines = new LineCounter();
  const parsed = parseDocument(text, { lineCounter: lines, prettyErrors: false, uniqueKeys: true });
  if (parsed.errors.length > 0) {
    return Result.err(
      parsed.errors.map((error) => {
        const { line, col } = lines.linePos(error.pos[0]);
        const place = { path: '', field: `line ${line}, column ${col}` };
        return fault('settings.syntax', place, error.message, 'Correct the YAML at this place');
      }),
    );
  }
  try {
    return parseTree(parsed.toJS());
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    const remedy = 'Define each anchor before its alias, and use few aliases';
    return Result.err([fault('settings.syntax', { path: '' }, message, remedy)]);
  }
}

/** Writes a tree in the nested form that `parseTree` reads. */
export function nestTree(document: TreeDocument): Record<string, unknown> {
  const nested = new Map<string, Record<string, unknown>>();
  const root: Record<string, unknown> = { defaults: {}, sites: {} };
  for (const node of document.nodes) {
    const value = nestFields(node);
    nested.set(node.path, value);
    if (node.kind === 'defaults') root['defaults'] = value;
    else attach(root, nested, node, value);
  }
  return root;
}

function nestFields(node: TreeNode): Record<string, unknown> {
  const value: Record<string, unknown> = node.parent === undefined ? {} : { parent: node.parent };
  for (const [field, part] of Object.entries(node.fields)) {
    const [group, name] = field.split('.');
    if (group === undefined || name === undefined) value[field] = part;
    else value[group] = { ...(value[group] as object | undefined), [name]: part };
  }
  return value;
}

function attach(
  root: Record<string, unknown>,
  nested: ReadonlyMap<string, Record<string, unknown>>,
  node: TreeNode,
  value: Record<string, unknown>,
): void {
  const slash = node.path.lastIndexOf('/');
  const owner = slash < 0 ? root : nested.get(node.path.slice(0, slash));
  const key = { defaults: 'defaults', site: 'sites', service: 'services', backend: 'backends' }[node.kind];
  if (!owner) return;
  owner[key] = { ...(owner[key] as object | undefined), [node.path.slice(slash + 1)]: value };
}
