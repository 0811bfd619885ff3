/**
 * From a settings tree to the effective settings that the other slices read.
 *
 * Owns the indexes of the newest tree, by which a small change is checked without the whole tree. Relies on
 * `validate.ts`: a tree with any fault is not resolved.
 */
import Result from 'true-myth/result';
import type { Endpoint } from '../common/types.js';
import type { SettingsFault } from './errors.js';
import { parseEndpoint } from './field-types.js';
import { allowsField, FIELD_DEFINITIONS } from './fields.js';
import { Inheritance } from './inherit.js';
import {
  nodeId,
  pathAbove,
  type FieldValue,
  type NodeKind,
  type TreeDocument,
  type TreeNode,
} from './tree.js';
import type { EffectiveBackend, EffectiveService, EffectiveSettings, HealthPolicy } from './types.js';
import { checkNode, checkNodeShape } from './node-checks.js';
import { changedServices, ResolvedTree } from './resolved-tree.js';
import { findNodeChanges, type NodeChange } from './tree-changes.js';
import { checkInherited, checkShape, validateNodes } from './validate.js';

/** Typed access to the values in force at one node of a valid tree. */
class EffectiveValues {
  constructor(
    private readonly inheritance: Inheritance,
    private readonly node: TreeNode,
  ) {}

  number(field: string): number {
    return this.optionalNumber(field) ?? 0;
  }

  optionalNumber(field: string): number | undefined {
    const { value } = this.inheritance.value(this.node, field);
    return typeof value === 'number' ? value : undefined;
  }

  text(field: string): string {
    const { value } = this.inheritance.value(this.node, field);
    return typeof value === 'string' ? value : '';
  }

  flag(field: string): boolean {
    return this.inheritance.value(this.node, field).value === true;
  }

  endpoint(field: string): Endpoint | undefined {
    return parseEndpoint(this.text(field));
  }
}

const NO_ENDPOINT: Endpoint = { host: '0.0.0.0', port: 0 };

function resolveBackend(inheritance: Inheritance, node: TreeNode): EffectiveBackend {
  const values = new EffectiveValues(inheritance, node);
  const endpoint = values.endpoint('endpoint') ?? NO_ENDPOINT;
  return {
    name: node.path,
    id: nodeId(node),
    zone: values.text('zone'),
    endpoint,
    health: values.endpoint('healthEndpoint') ?? endpoint,
    weight: values.number('weight'),
    maxConnections: values.number('maxConnections'),
    slots: values.number('slots'),
    draining: values.flag('draining'),
  };
}

function resolveHealthPolicy(values: EffectiveValues): HealthPolicy {
  return {
    probeIntervalMs: values.number('health.probeIntervalMs'),
    probeTimeoutMs: values.number('health.probeTimeoutMs'),
    unhealthyThreshold: values.number('health.unhealthyThreshold'),
    healthyThreshold: values.number('health.healthyThreshold'),
    maxEjectedShare: values.number('health.maxEjectedShare'),
    panicShare: values.number('health.panicShare'),
    slowStartMs: values.number('health.slowStartMs'),
  };
}

function byId(left: { readonly id: number }, right: { readonly id: number }): number {
  return left.id - right.id;
}

function resolveService(
  inheritance: Inheritance,
  node: TreeNode,
  backends: readonly TreeNode[],
): EffectiveService {
  const values = new EffectiveValues(inheritance, node);
  return {
    name: node.path,
    id: nodeId(node),
    site: pathAbove(node.path) ?? '',
    address: values.endpoint('address') ?? NO_ENDPOINT,
    unknownFlow: values.text('unknownFlow') === 'drop' ? 'drop' : 'reset',
    idleTimeoutMs: values.number('idleTimeoutMs'),
    zonePreference: values.number('zonePreference'),
    limits: {
      maxConnections: values.optionalNumber('limits.maxConnections'),
      openingsPerSecond: values.optionalNumber('limits.openingsPerSecond'),
      openingsPerSecondPerClient: values.optionalNumber('limits.openingsPerSecondPerClient'),
      retryBudgetShare: values.number('limits.retryBudgetShare'),
    },
    healthPolicy: resolveHealthPolicy(values),
    backends: backends.map((backend) => resolveBackend(inheritance, backend)).sort(byId),
  };
}

function backendsByService(nodes: readonly TreeNode[]): Map<string, TreeNode[]> {
  const groups = new Map<string, TreeNode[]>();
  for (const node of nodes) {
    if (node.kind !== 'backend') continue;
    const service = pathAbove(node.path) ?? '';
    const group = groups.get(service);
    if (group) group.push(node);
    else groups.set(service, [node]);
  }
  return groups;
}

/** Structural equality of effective values (plain objects, arrays and scalars). */
function sameValue(left: unknown, right: unknown): boolean {
  if (left === right) return true;
  if (typeof left !== 'object' || typeof right !== 'object' || left === null || right === null) return false;
  const [leftKeys, rightKeys] = [Object.keys(left), Object.keys(right)];
  if (leftKeys.length !== rightKeys.length) return false;
  return leftKeys.every((key) =>
    sameValue((left as Record<string, unknown>)[key], (right as Record<string, unknown>)[key]),
  );
}

/** Keeps the objects of the previous service, or of its back ends, where nothing has changed. */
function shareService(now: EffectiveService, before: EffectiveService | undefined): EffectiveService {
  if (!before) return now;
  if (sameValue(now, before)) return before;
  const known = new Map(before.backends.map((backend) => [backend.id, backend]));
  const backends = now.backends.map((backend) => {
    const previous = known.get(backend.id);
    return previous && sameValue(backend, previous) ? previous : backend;
  });
  return { ...now, backends };
}

/** The nodes that each service was resolved from: services of the same nodes are the same. */
const SERVICE_SOURCES = new WeakMap<EffectiveService, readonly TreeNode[]>();

function sourcesOf(
  inheritance: Inheritance,
  node: TreeNode,
  backends: readonly TreeNode[],
): readonly TreeNode[] {
  const sources = [...inheritance.chain(node)];
  for (const backend of backends) sources.push(...inheritance.chain(backend));
  return sources;
}

function sameNodes(left: readonly TreeNode[], right: readonly TreeNode[] | undefined): boolean {
  return left.length === right?.length && left.every((node, index) => node === right[index]);
}

/** Resolves a service unless the previous one came from the very same nodes. */
function resolveOrReuse(
  inheritance: Inheritance,
  node: TreeNode,
  backends: readonly TreeNode[],
  previous: EffectiveService | undefined,
): EffectiveService {
  const sources = sourcesOf(inheritance, node, backends);
  if (previous && sameNodes(sources, SERVICE_SOURCES.get(previous))) return previous;
  const service = shareService(resolveService(inheritance, node, backends), previous);
  SERVICE_SOURCES.set(service, sources);
  return service;
}

/** Changed nodes up to which a tree is checked by its changes alone. Above the nodes of usual edits. */
const MAX_INCREMENTAL_CHANGES = 64;

/** The indexes of the tree that settings were resolved from; those of the newest version only. */
const RESOLVED_TREES = new WeakMap<EffectiveSettings, ResolvedTree>();

/**
 * Resolves a tree. Nothing is applied when there is any fault: the result is then the list of all of them. Services
 * that equal those of `previous` are the same objects, so that readers can compare by identity. A change of a few
 * nodes costs little when the document shares its unchanged nodes with the previous one (`applyChanges`,
 * `shareNodes`).
 */
export function resolveSettings(
  document: TreeDocument,
  version: number,
  previous?: EffectiveSettings,
): Result<EffectiveSettings, SettingsFault[]> {
  const changed = previous && resolveChanges(document, version, previous);
  return changed ? Result.ok(changed) : resolveWhole(document, version, previous);
}

/**
 * Resolves what changed since `previous`; undefined when that needs the whole tree, as it does when there is a
 * fault.
 */
function resolveChanges(
  document: TreeDocument,
  version: number,
  previous: EffectiveSettings,
): EffectiveSettings | undefined {
  const tree = RESOLVED_TREES.get(previous);
  if (!tree || !Array.isArray(document.nodes)) return undefined;
  const changes = findNodeChanges(tree.list, document.nodes, MAX_INCREMENTAL_CHANGES);
  if (!changes || !areSound(changes) || !tree.covers(changes) || !tree.keepsUnique(changes)) return undefined;
  const before = tree.list;
  tree.apply(changes, document.nodes);
  const inheritance = new Inheritance(tree.nodes);
  const paths = changedServices(changes);
  const faulty = [...paths].some((path) => {
    const service = tree.nodes.get(path) as TreeNode;
    return checkInherited(inheritance, service, tree.backends.get(path) ?? []).length > 0;
  });
  if (faulty) {
    tree.apply(
      changes.map(({ before, after }) => ({ before: after, after: before })),
      before,
    );
    return undefined;
  }
  const services = previous.services.map((service) =>
    paths.has(service.name)
      ? resolveOrReuse(
          inheritance,
          tree.nodes.get(service.name) as TreeNode,
          tree.backends.get(service.name) ?? [],
          service,
        )
      : service,
  );
  const settings = { version, services };
  RESOLVED_TREES.delete(previous);
  RESOLVED_TREES.set(settings, tree);
  return settings;
}

/** True when the changed nodes have no fault when each is taken alone. */
function areSound(changes: readonly NodeChange[]): boolean {
  return changes.every(
    ({ after }) => !after || (checkNodeShape(after, 0).length === 0 && checkNode(after).length === 0),
  );
}

function resolveWhole(
  document: TreeDocument,
  version: number,
  previous: EffectiveSettings | undefined,
): Result<EffectiveSettings, SettingsFault[]> {
  const malformed = checkShape(document);
  if (malformed.length > 0) return Result.err(malformed);
  const inheritance = new Inheritance(document.nodes);
  const faults = validateNodes(document.nodes, inheritance);
  if (faults.length > 0) return Result.err(faults);
  const groups = backendsByService(document.nodes);
  const known = new Map(previous?.services.map((service) => [service.name, service]));
  const services = document.nodes
    .filter((node) => node.kind === 'service')
    .map((node) => resolveOrReuse(inheritance, node, groups.get(node.path) ?? [], known.get(node.path)))
    .sort(byId);
  const settings = { version, services };
  const tree = ResolvedTree.of(document.nodes);
  if (tree) RESOLVED_TREES.set(settings, tree);
  return Result.ok(settings);
}

/** One field in force at a node. */
interface EffectiveField {
  readonly field: string;
  readonly value: FieldValue | undefined;
  readonly unit: string;
  /** Path of the node that set it ('' is the defaults node), or `BUILT_IN_ORIGIN`. */
  readonly origin: string;
}

/** A node with every field that may be set on it. */
interface EffectiveNode {
  readonly path: string;
  readonly kind: NodeKind;
  readonly fields: readonly EffectiveField[];
}

/** The fields in force at a node, each with the node it was inherited from; undefined when there is no such node. */
export function effectiveNode(document: TreeDocument, path: string): EffectiveNode | undefined {
  const inheritance = new Inheritance(document.nodes);
  const node = inheritance.nodes.get(path);
  if (!node) return undefined;
  const definitions = FIELD_DEFINITIONS.filter((definition) => allowsField(node.kind, definition));
  const fields = definitions.map(({ name, unit }) => {
    const { value, origin } = inheritance.value(node, name);
    return { field: name, value, unit, origin };
  });
  return { path, kind: node.kind, fields };
}
