/**
 * Inheritance: which value of a field is in force at a node and which node set it.
 *
 * Owns the chains of ancestors of one tree. Relies on nothing about the tree: a chain ends at a missing parent, and
 * somewhere in a cycle.
 */
import { fieldNamed, isInheritable } from './fields.js';
import { parentPath, type FieldValue, type TreeNode } from './tree.js';

/** Origin of values that no node sets. */
export const BUILT_IN_ORIGIN = 'built-in';

/** Value in force and the path of the node that set it, or `BUILT_IN_ORIGIN`. */
interface InheritedValue {
  readonly value: FieldValue | undefined;
  readonly origin: string;
}

const NO_NODES: readonly TreeNode[] = [];

/** The nodes of one tree with the chain of inheritance of each. Of nodes with equal paths the first counts. */
export class Inheritance {
  readonly nodes: ReadonlyMap<string, TreeNode>;
  private readonly chains = new Map<TreeNode, readonly TreeNode[]>();

  /** `nodes` as a list, or by path; an index must not change while this is in use. */
  constructor(nodes: readonly TreeNode[] | ReadonlyMap<string, TreeNode>) {
    this.nodes = nodes instanceof Map ? nodes : indexFirst(nodes as readonly TreeNode[]);
  }

  /** Nodes from `node` up to the top. Ends at a missing parent, and somewhere in a cycle. */
  chain(node: TreeNode): readonly TreeNode[] {
    const known = this.chains.get(node);
    if (known) return known;
    this.chains.set(node, NO_NODES);
    const parent = this.parentOf(node);
    const chain = parent ? [node, ...this.chain(parent)] : [node];
    this.chains.set(node, chain);
    return chain;
  }

  /** The node whose fields `node` inherits; undefined at the top and when it is missing. */
  parentOf(node: TreeNode): TreeNode | undefined {
    const path = parentPath(node);
    return path === undefined ? undefined : this.nodes.get(path);
  }

  /** The value of `field` in force at `node`; fields that are not inherited are read from the node only. */
  value(node: TreeNode, field: string): InheritedValue {
    const definition = fieldNamed(field);
    const inherited = definition !== undefined && isInheritable(definition);
    for (const source of inherited ? this.chain(node) : [node]) {
      if (Object.hasOwn(source.fields, field)) return { value: source.fields[field], origin: source.path };
    }
    return { value: definition?.fallback, origin: BUILT_IN_ORIGIN };
  }
}

function indexFirst(nodes: readonly TreeNode[]): Map<string, TreeNode> {
  const index = new Map<string, TreeNode>();
  for (const node of nodes) {
    if (!index.has(node.path)) index.set(node.path, node);
  }
  return index;
}
