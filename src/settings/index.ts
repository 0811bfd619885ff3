/**
 * Settings tree: reading, validating, resolving, comparing and editing it.
 *
 * Owns the fields, their ranges and the form of the tree in files, in the store and on the wire. Relies on the
 * store's client for versions; it does not know how a tree reaches the balancers (`gue-edge/dissemination/`).
 *
 * ```ts
 * const tree = parseTreeText(await readFile('examples/isartal.yaml', 'utf8'));
 * const settings = tree.andThen((document) => resolveSettings(document, 1));
 * ```
 */
export * from './types.js';
export * from './tree.js';
export * from './errors.js';
export { TREE_OBJECT_KEY, EDIT_HISTORY_LENGTH } from './constants.js';
export { parseEndpoint, type FieldDefinition } from './field-types.js';
export { FIELD_DEFINITIONS, fieldNamed } from './fields.js';
export { BUILT_IN_ORIGIN } from './inherit.js';
export { asTreeDocument, validateDocument, validateNodes } from './validate.js';
export { effectiveNode, resolveSettings } from './resolve.js';
export { nestTree, parseTree, parseTreeText } from './parse.js';
export { applyChanges, diffTrees, shareNodes } from './diff.js';
export { decodeDelta, decodeNode, encodeDelta, encodeNode } from './codec.js';
export { findConflicts } from './conflicts.js';
export * from './edits.js';
export { SETTINGS_EVENTS } from './events.js';
export { fileJsonSchema } from './file-schema.js';
export { readStoredTree } from './stored-tree.js';
export { TreeEditor, type EditOutcome, type EditRequest } from './tree-editor.js';
