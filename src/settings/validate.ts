/** Validation of a whole tree: every fault at once. */
import { hashString } from '../common/hash.js';
import type { SettingsFault } from './errors.js';
import { inheritanceChain, inheritedValue } from './inherit.js';
import { checkNode, checkNodeShape, fault, isRecord } from './node-checks.js';
import {
  NODE_KINDS,
  parentPath,
  pathAbove,
  type EditRecord,
  type TreeDocument,
  type TreeNode,
} from './tree.js';

type NodeIndex = ReadonlyMap<string, TreeNode>;

function indexWithDuplicates(nodes: readonly TreeNode[]): { index: NodeIndex; faults: SettingsFault[] } {
  const index = new Map<string, TreeNode>();
  const faults: SettingsFault[] = [];
  for (const node of nodes) {
    if (index.has(node.path)) {
      const place = { path: node.path, value: node.path };
      faults.push(fault('settings.duplicate-node', place, 'appears more than once', 'Keep one node a path'));
    } else {
      index.set(node.path, node);
    }
  }
  return { index, faults };
}

function missingParent(node: TreeNode, field: string, above: string): SettingsFault {
  const place = { path: node.path, field, value: above };
  const remedy = `Add the node ${above === '' ? 'defaults' : above} or remove this one`;
  return fault('settings.dangling-parent', place, 'names a node that does not exist', remedy);
}

function checkParents(index: NodeIndex, node: TreeNode): SettingsFault[] {
  const above = pathAbove(node.path);
  const faults: SettingsFault[] = [];
  if (above !== undefined && above !== '' && !index.has(above))
    faults.push(missingParent(node, 'path', above));
  if (node.parent === undefined) return faults;
  const parent = index.get(node.parent);
  if (!parent) return [...faults, missingParent(node, 'parent', node.parent)];
  if (NODE_KINDS.indexOf(parent.kind) <= NODE_KINDS.indexOf(node.kind)) return faults;
  const place = { path: node.path, field: 'parent', value: node.parent };
  const message = `is a ${parent.kind} below a ${node.kind}`;
  faults.push(
    fault('settings.dangling-parent', place, message, 'Inherit from a node of the same or a higher kind'),
  );
  return faults;
}

function checkCycles(index: NodeIndex): SettingsFault[] {
  const settled = new Set<string>();
  const faults: SettingsFault[] = [];
  for (const start of index.values()) {
    const walked = new Set<string>();
    let node: TreeNode | undefined = start;
    while (node && !settled.has(node.path) && !walked.has(node.path)) {
      walked.add(node.path);
      const above = parentPath(node);
      node = above === undefined ? undefined : index.get(above);
    }
    if (node && walked.has(node.path)) faults.push(cycleFault(index, node));
    for (const path of walked) settled.add(path);
  }
  return faults;
}

function cycleFault(index: NodeIndex, start: TreeNode): SettingsFault {
  const members = inheritanceChain(index, start).map((node) => node.path);
  const place = { path: start.path, field: 'parent', value: start.parent };
  const message = `closes a cycle of inheritance: ${[...members, start.path].join(' -> ')}`;
  return fault('settings.cycle', place, message, 'Remove or change the parent of one of these nodes');
}

function stringField(node: TreeNode, field: string): string | undefined {
  const value = Object.hasOwn(node.fields, field) ? node.fields[field] : undefined;
  return typeof value === 'string' ? value : undefined;
}

/** Reports nodes that use an address which another node has already. */
class AddressBook {
  private readonly owners = new Map<string, TreeNode>();
  readonly faults: SettingsFault[] = [];

  add(node: TreeNode, field: string): void {
    const address = stringField(node, field);
    if (address === undefined) return;
    const owner = this.owners.get(address);
    if (owner) this.faults.push(this.describe(node, field, address, owner));
    else this.owners.set(address, node);
  }

  private describe(node: TreeNode, field: string, value: string, owner: TreeNode): SettingsFault {
    const place = { path: node.path, field, value };
    const acrossServices = node.kind !== owner.kind || (node.kind === 'backend' && !sameService(node, owner));
    const kind = acrossServices ? 'settings.overlapping-service' : 'settings.duplicate-address';
    const message = acrossServices
      ? `is used by ${owner.path} of another service too, so packets could reach the wrong service`
      : `is used by ${owner.path} too`;
    return fault(kind, place, message, 'Give each service and each back end an address of its own');
  }
}

function sameService(left: TreeNode, right: TreeNode): boolean {
  return pathAbove(left.path) === pathAbove(right.path);
}

function checkAddresses(nodes: readonly TreeNode[]): SettingsFault[] {
  const book = new AddressBook();
  for (const node of nodes) {
    if (node.kind === 'service') book.add(node, 'address');
  }
  for (const node of nodes) {
    if (node.kind === 'backend') book.add(node, 'endpoint');
  }
  return book.faults;
}

function checkIds(index: NodeIndex): SettingsFault[] {
  const owners = new Map<number, string>();
  const faults: SettingsFault[] = [];
  for (const node of index.values()) {
    if (node.kind !== 'service' && node.kind !== 'backend') continue;
    const id = hashString(node.path);
    const owner = owners.get(id);
    if (owner === undefined) {
      owners.set(id, node.path);
      continue;
    }
    const message = `has the same 32-bit identifier as ${owner}`;
    const remedy = 'Rename one of the two nodes';
    faults.push(fault('settings.id-collision', { path: node.path, value: node.path }, message, remedy));
  }
  return faults;
}

function checkZone(index: NodeIndex, node: TreeNode): SettingsFault[] {
  if (node.kind !== 'backend') return [];
  if (inheritedValue(inheritanceChain(index, node), 'zone').value !== undefined) return [];
  const place = { path: node.path, field: 'zone' };
  return [
    fault('settings.missing-zone', place, 'is not set', 'Set the zone on the back end or on a node above it'),
  ];
}

function checkProbeTimes(index: NodeIndex, node: TreeNode): SettingsFault[] {
  if (node.kind !== 'service') return [];
  const chain = inheritanceChain(index, node);
  const interval = inheritedValue(chain, 'health.probeIntervalMs').value;
  const timeout = inheritedValue(chain, 'health.probeTimeoutMs').value;
  if (typeof interval !== 'number' || typeof timeout !== 'number' || timeout <= interval) return [];
  const place = { path: node.path, field: 'health.probeTimeoutMs', value: timeout };
  const remedy = 'Shorten health.probeTimeoutMs or lengthen health.probeIntervalMs';
  return [
    fault('settings.out-of-range', place, `is longer than the probe interval of ${interval} ms`, remedy),
  ];
}

/** Every fault of a list of well-shaped nodes; empty when the tree may be applied. */
export function validateNodes(nodes: readonly TreeNode[]): SettingsFault[] {
  const { index, faults } = indexWithDuplicates(nodes);
  const unique = [...index.values()];
  return [
    ...faults,
    ...unique.flatMap((node) => [...checkNode(node), ...checkParents(index, node)]),
    ...checkCycles(index),
    ...checkAddresses(unique),
    ...checkIds(index),
    ...unique.flatMap((node) => [...checkZone(index, node), ...checkProbeTimes(index, node)]),
  ];
}

/** Every fault of a document, which may be any JSON value. */
export function validateDocument(document: unknown): SettingsFault[] {
  if (!isRecord(document) || !Array.isArray(document['nodes'])) {
    const remedy = 'Store a document with a list of nodes';
    return [fault('settings.malformed', { path: '', field: 'nodes' }, 'is not a settings tree', remedy)];
  }
  const nodes: readonly unknown[] = document['nodes'];
  const faults = nodes.flatMap(checkNodeShape);
  const wellShaped = nodes.filter((node, position) => checkNodeShape(node, position).length === 0);
  return [...faults, ...validateNodes(wellShaped as TreeNode[])];
}

function isEditRecord(value: unknown): value is EditRecord {
  if (!isRecord(value)) return false;
  const { token, author, summary, changes, version } = value;
  const texts = [token, author, summary].every((text) => typeof text === 'string');
  return texts && typeof version === 'number' && Array.isArray(changes) && changes.every(isRecord);
}

/** Reads any JSON value as a document, without judging its fields; undefined when it is not one. */
export function asTreeDocument(value: unknown): TreeDocument | undefined {
  if (!isRecord(value) || !Array.isArray(value['nodes'])) return undefined;
  const nodes = value['nodes'] as readonly unknown[];
  if (nodes.some((node, position) => checkNodeShape(node, position).length > 0)) return undefined;
  const edits: readonly unknown[] = Array.isArray(value['edits']) ? value['edits'] : [];
  return { nodes: nodes as TreeNode[], edits: edits.filter(isEditRecord) };
}
