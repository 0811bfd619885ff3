/**
 * Validation of a whole tree: every fault at once.
 *
 * Owns no state. Relies on `node-checks.ts` for single nodes, and on `inherit.ts` for the values in force.
 */
import type { SettingsFault } from './errors.js';
import { Inheritance } from './inherit.js';
import { checkNode, checkNodeShape, fault, isRecord } from './node-checks.js';
import { NODE_KINDS, nodeId, pathAbove, type EditRecord, type TreeDocument, type TreeNode } from './tree.js';

const NO_FAULTS: readonly SettingsFault[] = [];

function checkDuplicates(inheritance: Inheritance, nodes: readonly TreeNode[]): SettingsFault[] {
  const duplicates = nodes.filter((node) => inheritance.nodes.get(node.path) !== node);
  return duplicates.map((node) => {
    const place = { path: node.path, value: node.path };
    return fault('settings.duplicate-node', place, 'appears more than once', 'Keep one node a path');
  });
}

function missingParent(node: TreeNode, field: string, above: string): SettingsFault {
  const place = { path: node.path, field, value: above };
  const remedy = `Add the node ${above === '' ? 'defaults' : above} or remove this one`;
  return fault('settings.dangling-parent', place, 'names a node that does not exist', remedy);
}

function checkParents(nodes: ReadonlyMap<string, TreeNode>, node: TreeNode): SettingsFault[] {
  const above = pathAbove(node.path);
  const faults: SettingsFault[] = [];
  if (above !== undefined && above !== '' && !nodes.has(above))
    faults.push(missingParent(node, 'path', above));
  if (node.parent === undefined) return faults;
  const parent = nodes.get(node.parent);
  if (!parent) return [...faults, missingParent(node, 'parent', node.parent)];
  if (NODE_KINDS.indexOf(parent.kind) <= NODE_KINDS.indexOf(node.kind)) return faults;
  const place = { path: node.path, field: 'parent', value: node.parent };
  const message = `is a ${parent.kind} below a ${node.kind}`;
  faults.push(
    fault('settings.dangling-parent', place, message, 'Inherit from a node of the same or a higher kind'),
  );
  return faults;
}

/** Only a chain through an explicit parent can close a cycle, since the parent by path has a shorter path. */
function checkCycles(inheritance: Inheritance, nodes: readonly TreeNode[]): SettingsFault[] {
  const settled = new Set<TreeNode>();
  const faults: SettingsFault[] = [];
  for (const start of nodes.filter((node) => node.parent !== undefined)) {
    const walked: TreeNode[] = [];
    const seen = new Set<TreeNode>();
    let node: TreeNode | undefined = start;
    while (node && !settled.has(node) && !seen.has(node)) {
      walked.push(node);
      seen.add(node);
      node = inheritance.parentOf(node);
    }
    if (node && seen.has(node)) faults.push(cycleFault(walked.slice(walked.indexOf(node))));
    for (const done of walked) settled.add(done);
  }
  return faults;
}

function cycleFault(members: readonly TreeNode[]): SettingsFault {
  const first = members.find((node) => node.parent !== undefined) ?? members[0];
  const paths = [...members, members[0]].map((node) => (node?.path === '' ? 'defaults' : node?.path));
  const place = { path: first?.path ?? '', field: 'parent', value: first?.parent };
  const message = `closes a cycle of inheritance: ${paths.join(' -> ')}`;
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

function checkIds(nodes: readonly TreeNode[]): SettingsFault[] {
  const owners = new Map<number, string>();
  const faults: SettingsFault[] = [];
  for (const node of nodes) {
    if (node.kind !== 'service' && node.kind !== 'backend') continue;
    const id = nodeId(node);
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

function checkZone(inheritance: Inheritance, node: TreeNode): readonly SettingsFault[] {
  if (node.kind !== 'backend') return NO_FAULTS;
  if (inheritance.value(node, 'zone').value !== undefined) return NO_FAULTS;
  const place = { path: node.path, field: 'zone' };
  return [
    fault('settings.missing-zone', place, 'is not set', 'Set the zone on the back end or on a node above it'),
  ];
}

function checkProbeTimes(inheritance: Inheritance, node: TreeNode): readonly SettingsFault[] {
  if (node.kind !== 'service') return NO_FAULTS;
  const interval = inheritance.value(node, 'health.probeIntervalMs').value;
  const timeout = inheritance.value(node, 'health.probeTimeoutMs').value;
  if (typeof interval !== 'number' || typeof timeout !== 'number' || timeout <= interval) return NO_FAULTS;
  const place = { path: node.path, field: 'health.probeTimeoutMs', value: timeout };
  const remedy = 'Shorten health.probeTimeoutMs or lengthen health.probeIntervalMs';
  return [
    fault('settings.out-of-range', place, `is longer than the probe interval of ${interval} ms`, remedy),
  ];
}

/** Faults of what a service and its back ends inherit; the rest of a node is judged by `checkNode`. */
export function checkInherited(
  inheritance: Inheritance,
  service: TreeNode,
  backends: readonly TreeNode[],
): SettingsFault[] {
  return [
    ...checkProbeTimes(inheritance, service),
    ...backends.flatMap((backend) => checkZone(inheritance, backend)),
  ];
}

/** Every fault of a list of well-shaped nodes; empty when the tree may be applied. */
export function validateNodes(
  nodes: readonly TreeNode[],
  inheritance = new Inheritance(nodes),
): SettingsFault[] {
  const unique = [...inheritance.nodes.values()];
  return [
    ...checkDuplicates(inheritance, nodes),
    ...unique.flatMap(checkNode),
    ...unique.flatMap((node) => checkParents(inheritance.nodes, node)),
    ...checkCycles(inheritance, unique),
    ...checkAddresses(unique),
    ...checkIds(unique),
    ...unique.flatMap((node) => checkZone(inheritance, node)),
    ...unique.flatMap((node) => checkProbeTimes(inheritance, node)),
  ];
}

/** Faults of the shape of a document, which may be any JSON value; none: it has a list of nodes. */
export function checkShape(document: unknown): SettingsFault[] {
  if (isRecord(document) && Array.isArray(document['nodes']))
    return document['nodes'].flatMap(checkNodeShape);
  const remedy = 'Store a document with a list of nodes';
  return [fault('settings.malformed', { path: '', field: 'nodes' }, 'is not a settings tree', remedy)];
}

/** Every fault of a document, which may be any JSON value. Nodes without the shape of a node are judged no further. */
export function validateDocument(document: unknown): SettingsFault[] {
  const malformed = checkShape(document);
  const list = isRecord(document) && Array.isArray(document['nodes']) ? document['nodes'] : [];
  const nodes: readonly unknown[] = list;
  const wellShaped =
    malformed.length === 0
      ? nodes
      : nodes.filter((node, position) => checkNodeShape(node, position).length === 0);
  return [...malformed, ...validateNodes(wellShaped as TreeNode[])];
}

function isEditRecord(value: unknown): value is EditRecord {
  if (!isRecord(value)) return false;
  const { token, author, summary, changes, version } = value;
  const texts = [token, author, summary].every((text) => typeof text === 'string');
  return texts && typeof version === 'number' && Array.isArray(changes) && changes.every(isRecord);
}

/** Reads any JSON value as a document, without judging its fields; undefined when it is not one. */
export function asTreeDocument(value: unknown): TreeDocument | undefined {
  if (!isRecord(value) || checkShape(value).length > 0) return undefined;
  const edits: readonly unknown[] = Array.isArray(value['edits']) ? value['edits'] : [];
  return { nodes: value['nodes'] as TreeNode[], edits: edits.filter(isEditRecord) };
}
