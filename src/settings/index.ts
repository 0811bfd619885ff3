/**
 * Settings tree: reading, validating, resolving, comparing and editing it.
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
export {
  FIELD_DEFINITIONS,
  fieldNamed,
  parseEndpoint,
  type FieldDefinition,
  type FieldScope,
} from './fields.js';
export { BUILT_IN_ORIGIN } from './inherit.js';
export { asTreeDocument, validateDocument, validateNodes } from './validate.js';
export { effectiveNode, resolveSettings, type EffectiveField, type EffectiveNode } from './resolve.js';
export { nestTree, parseTree, parseTreeText } from './parse.js';
export { applyChanges, diffTrees } from './diff.js';
