/**
 * Changed nodes between two lists of nodes, found by walking both at once; nodes are compared by identity.
 *
 * Owns no state. Relies on untouched nodes being the same objects in both lists.
 */
import { comparePaths, type TreeNode } from './tree.js';

/** What happened to one node; `before` is absent when it was added, `after` when it was removed. */
export interface NodeChange {
  readonly before: TreeNode | undefined;
  readonly after: TreeNode | undefined;
}

/** True when every path is greater than the one before, so that no path appears twice. */
export function isStrictlySorted(nodes: readonly TreeNode[]): boolean {
  return nodes.every((node, index) => index === 0 || comparePaths(nodes[index - 1]!.path, node.path) < 0);
}

/** Order of two nodes by path; an absent one comes after every other. */
function compareNodes(left: TreeNode | undefined, right: TreeNode | undefined): number {
  if (!left) return 1;
  return right ? comparePaths(left.path, right.path) : -1;
}

/** False for two nodes of which the second one should come first; an absent one is in order everywhere. */
function isInOrder(previous: TreeNode | undefined, node: TreeNode | undefined): boolean {
  return !node || !previous || comparePaths(previous.path, node.path) < 0;
}

/**
 * Changes from `before`, which is strictly sorted, to `after`; undefined when there are more than `limit` or `after` is
 * not strictly sorted. Costs one comparison of references for each unchanged node.
 */
export function findNodeChanges(
  before: readonly TreeNode[],
  after: readonly TreeNode[],
  limit: number,
): NodeChange[] | undefined {
  const changes: NodeChange[] = [];
  let [left, right] = [0, 0];
  while (left < before.length || right < after.length) {
    const [old, now] = [before[left], after[right]];
    if (old === now) {
      left += 1;
      right += 1;
      continue;
    }
    if (!isInOrder(after[right - 1], now)) return undefined;
    const order = compareNodes(old, now);
    changes.push({ before: order <= 0 ? old : undefined, after: order >= 0 ? now : undefined });
    if (changes.length > limit) return undefined;
    if (order <= 0) left += 1;
    if (order >= 0) right += 1;
  }
  return changes;
}
