/** Inheritance: which value of a field is in force at a node and which node set it. */
import { fieldNamed, isInheritable } from './fields.js';
import { parentPath, type FieldValue, type TreeNode } from './tree.js';

/** Origin of values that no node sets. */
export const BUILT_IN_ORIGIN = 'built-in';

/** Value in force and the path of the node that set it, or `BUILT_IN_ORIGIN`. */
export interface InheritedValue {
  readonly value: FieldValue | undefined;
  readonly origin: string;
}

/** Nodes from `node` up to the top of its inheritance. Ends at a missing parent or before a repeated node. */
export function inheritanceChain(nodes: ReadonlyMap<string, TreeNode>, node: TreeNode): TreeNode[] {
  const chain: TreeNode[] = [];
  let current: TreeNode | undefined = node;
  while (current && !chain.includes(current)) {
    chain.push(current);
    const above = parentPath(current);
    current = above === undefined ? undefined : nodes.get(above);
  }
  return chain;
}

/** Finds the value of `field` along a chain; fields that are not inherited are read from its first node only. */
export function inheritedValue(chain: readonly TreeNode[], field: string): InheritedValue {
  const definition = fieldNamed(field);
  const sources = definition && isInheritable(definition) ? chain : chain.slice(0, 1);
  for (const node of sources) {
    if (Object.hasOwn(node.fields, field)) return { value: node.fields[field], origin: node.path };
  }
  return { value: definition?.fallback, origin: BUILT_IN_ORIGIN };
}
