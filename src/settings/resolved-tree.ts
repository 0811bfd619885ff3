/**
 * Indexes of a valid tree, kept between two versions, so that a change of a few nodes is checked against them
 * instead of against every node. An index belongs to one version at a time and moves on to the next.
 *
 * Owns the indexes. Relies on the tree being valid, and on nodes being immutable.
 */
import { pathAbove, nodeId, type TreeNode } from './tree.js';
import { isStrictlySorted, type NodeChange } from './tree-changes.js';

/** Field with the address that no other node may use, by kind of node. */
const ADDRESS_FIELD: Partial<Record<TreeNode['kind'], string>> = {
  service: 'address',
  backend: 'endpoint',
};

/**
 * True for a back end, or for a service that is there before and after; neither of another kind before nor with a
 * parent of its own.
 */
function isSimpleChange(node: TreeNode, { before, after }: NodeChange): boolean {
  const isLeaf =
    node.kind === 'backend' || (node.kind === 'service' && before !== undefined && after !== undefined);
  if (!isLeaf || (before && before.kind !== node.kind)) return false;
  return !hasOwnParent(before) && !hasOwnParent(after);
}

function hasOwnParent(node: TreeNode | undefined): boolean {
  return node?.parent !== undefined;
}

/** The indexes; see `ResolvedTree.of`. */
export class ResolvedTree {
  readonly nodes = new Map<string, TreeNode>();
  /** Back ends by the path of their service, in the order of their paths. */
  readonly backends = new Map<string, TreeNode[]>();
  /** Paths that some node names as its parent. */
  private readonly explicitParents = new Set<string>();
  private readonly addresses = new Set<string>();
  private readonly ids = new Set<number>();

  private constructor(public list: readonly TreeNode[]) {
    for (const node of list) this.add(node);
  }

  /** Indexes of the nodes of a valid tree; undefined unless they are sorted by path. */
  static of(nodes: readonly TreeNode[]): ResolvedTree | undefined {
    return isStrictlySorted(nodes) ? new ResolvedTree(nodes) : undefined;
  }

  /**
   * True when the changes can be judged from the changed nodes and these indexes: back ends that are added, changed or
   * removed and services that are changed, none of them with an explicit parent or the explicit parent of another.
   */
  covers(changes: readonly NodeChange[]): boolean {
    return changes.every((change) => {
      const node = change.after ?? change.before;
      if (!node || !isSimpleChange(node, change)) return false;
      return !this.explicitParents.has(node.path) && this.nodes.has(pathAbove(node.path) ?? '');
    });
  }

  /** True when the changed nodes take no address and no identifier that another node has. */
  keepsUnique(changes: readonly NodeChange[]): boolean {
    const addresses = changes.map(({ before, after }) => ({
      freed: addressOf(before),
      taken: addressOf(after),
    }));
    const ids = changes.map(({ before, after }) => ({ freed: idOf(before), taken: idOf(after) }));
    return staysUnique(this.addresses, addresses) && staysUnique(this.ids, ids);
  }

  /** Takes the changes over; `list` is the whole tree after them. */
  apply(changes: readonly NodeChange[], list: readonly TreeNode[]): void {
    for (const { before } of changes) if (before) this.remove(before);
    for (const { after } of changes) if (after) this.add(after);
    for (const service of changedServices(changes)) {
      this.backends.get(service)?.sort((left, right) => (left.path < right.path ? -1 : 1));
    }
    this.list = list;
  }

  private add(node: TreeNode): void {
    this.nodes.set(node.path, node);
    if (node.parent !== undefined) this.explicitParents.add(node.parent);
    const address = addressOf(node);
    if (address !== undefined) this.addresses.add(address);
    const id = idOf(node);
    if (id !== undefined) this.ids.add(id);
    if (node.kind !== 'backend') return;
    const service = pathAbove(node.path) ?? '';
    const group = this.backends.get(service);
    if (group) group.push(node);
    else this.backends.set(service, [node]);
  }

  private remove(node: TreeNode): void {
    this.nodes.delete(node.path);
    const address = addressOf(node);
    if (address !== undefined) this.addresses.delete(address);
    const id = idOf(node);
    if (id !== undefined) this.ids.delete(id);
    const group = this.backends.get(pathAbove(node.path) ?? '');
    if (node.kind === 'backend' && group) group.splice(group.indexOf(node), 1);
  }
}

/** Paths of the services that changed themselves or whose back ends did. */
export function changedServices(changes: readonly NodeChange[]): Set<string> {
  const paths = changes.map(({ before, after }) => {
    const node = (after ?? before) as TreeNode;
    return node.kind === 'service' ? node.path : (pathAbove(node.path) ?? '');
  });
  return new Set(paths);
}

function staysUnique<T>(
  used: ReadonlySet<T>,
  moves: readonly { readonly freed: T | undefined; readonly taken: T | undefined }[],
): boolean {
  const freed = new Set(moves.map((move) => move.freed));
  const taken = new Set<T>();
  for (const { taken: value } of moves) {
    if (value === undefined) continue;
    if (taken.has(value) || (used.has(value) && !freed.has(value))) return false;
    taken.add(value);
  }
  return true;
}

function addressOf(node: TreeNode | undefined): string | undefined {
  const field = node && ADDRESS_FIELD[node.kind];
  const value = field === undefined ? undefined : node?.fields[field];
  return typeof value === 'string' ? value : undefined;
}

function idOf(node: TreeNode | undefined): number | undefined {
  return node && (node.kind === 'service' || node.kind === 'backend') ? nodeId(node) : undefined;
}
