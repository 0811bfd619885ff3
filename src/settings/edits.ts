/**
 * Edits of a tree as pure functions from a document to a document. Values are judged by validation afterwards.
 *
 * Owns no state. Relies on `tree-editor.ts` for reading, validation and writing.
 */
import Result from 'true-myth/result';
import { TreeError } from './errors.js';
import {
  EMPTY_TREE,
  indexNodes,
  isWithin,
  kindOfPath,
  withNodes,
  type FieldValue,
  type TreeDocument,
  type TreeNode,
} from './tree.js';

/** A change that an operator asks for. */
export type TreeEdit = (document: TreeDocument) => Result<TreeDocument, TreeError>;

function nodeNotFound(path: string): TreeError {
  const message = `There is no node ${path === '' ? 'defaults' : path} in the tree`;
  return new TreeError('settings.node-not-found', message, 'List the nodes with sailquay tree get');
}

function withNode(document: TreeDocument, node: TreeNode): TreeDocument {
  const nodes = indexNodes(document.nodes);
  nodes.set(node.path, node);
  return withNodes(document, nodes.values());
}

/** Sets fields of a node; a node that does not exist is added with the kind that belongs to its path. */
export function setFields(path: string, fields: Readonly<Record<string, FieldValue>>): TreeEdit {
  return (document) => {
    const existing = document.nodes.find((node) => node.path === path);
    if (existing) {
      return Result.ok(withNode(document, { ...existing, fields: { ...existing.fields, ...fields } }));
    }
    const kind = kindOfPath(path);
    if (kind) return Result.ok(withNode(document, { path, kind, fields: { ...fields } }));
    const remedy = 'Use site, site/service or site/service/backend';
    return Result.err(
      new TreeError('settings.invalid-edit', `The path ${path} has too many segments`, remedy),
    );
  };
}

/** Removes fields of a node, so that it inherits them again. */
export function unsetFields(path: string, names: readonly string[]): TreeEdit {
  return (document) => {
    const existing = document.nodes.find((node) => node.path === path);
    if (!existing) return Result.err(nodeNotFound(path));
    const missing = names.filter((name) => !Object.hasOwn(existing.fields, name));
    if (missing.length > 0) {
      const message = `The node ${path} does not set ${missing.join(', ')} itself`;
      const remedy = 'See where the value comes from with sailquay tree effective';
      return Result.err(new TreeError('settings.invalid-edit', message, remedy));
    }
    const kept = Object.entries(existing.fields).filter(([name]) => !names.includes(name));
    return Result.ok(withNode(document, { ...existing, fields: Object.fromEntries(kept) }));
  };
}

/** Removes a node and everything below it. The defaults node stays. */
export function removeNode(path: string): TreeEdit {
  return (document) => {
    if (path === '') {
      const remedy = 'Remove a site, a service or a back end, or unset fields of the defaults';
      return Result.err(new TreeError('settings.invalid-edit', 'The defaults cannot be removed', remedy));
    }
    if (!document.nodes.some((node) => node.path === path)) return Result.err(nodeNotFound(path));
    return Result.ok(
      withNodes(
        document,
        document.nodes.filter((node) => !isWithin(node.path, path)),
      ),
    );
  };
}

function movedPath(path: string, from: string, to: string): string {
  return isWithin(path, from) ? `${to}${path.slice(from.length)}` : path;
}

function moveOne(node: TreeNode, from: string, to: string): TreeNode {
  const path = movedPath(node.path, from, to);
  const parent = node.parent === undefined ? undefined : movedPath(node.parent, from, to);
  if (path === node.path && parent === node.parent) return node;
  return parent === undefined ? { ...node, path } : { ...node, path, parent };
}

/**
 * Moves a node and everything below it to another path of the same depth, and follows explicit parents. A moved
 * service or back end has a new identifier: for flow keeping it is removed and added.
 */
export function moveNode(from: string, to: string): TreeEdit {
  return (document) => {
    if (from === '' || kindOfPath(from) !== kindOfPath(to)) {
      const remedy = 'Move a site to a site, a service to a service, a back end to a back end';
      const message = `${from === '' ? 'defaults' : from} cannot move to ${to}`;
      return Result.err(new TreeError('settings.invalid-edit', message, remedy));
    }
    const paths = new Set(document.nodes.map((node) => node.path));
    if (!paths.has(from)) return Result.err(nodeNotFound(from));
    if (paths.has(to)) {
      const remedy = 'Choose a path that is not in use, or remove that node first';
      return Result.err(new TreeError('settings.node-exists', `There is already a node ${to}`, remedy));
    }
    return Result.ok(
      withNodes(
        document,
        document.nodes.map((node) => moveOne(node, from, to)),
      ),
    );
  };
}

/** Sets `draining` of a back end, or of all below a service or site. */
export function drainNode(path: string, draining: boolean): TreeEdit {
  return (document) => {
    if (!document.nodes.some((node) => node.path === path)) return Result.err(nodeNotFound(path));
    return setFields(path, { draining })(document);
  };
}

/** Replaces all nodes by those of `replacement`; the history stays. */
export function replaceNodes(replacement: TreeDocument): TreeEdit {
  return (document) => {
    const hasDefaults = replacement.nodes.some((node) => node.path === '');
    const added = hasDefaults ? [] : EMPTY_TREE.nodes;
    return Result.ok(withNodes(document, [...added, ...replacement.nodes]));
  };
}
