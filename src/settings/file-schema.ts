/**
 * The zod schema of settings files, in the nested form, and the JSON Schema that editors use.
 *
 * Owns no state. Relies on `fields.ts` for the fields.
 */
import { z } from 'zod';
import type { FieldDefinition } from './field-types.js';
import { allowsField, FIELD_DEFINITIONS } from './fields.js';
import type { NodeKind } from './tree.js';

/** The field's schema with a description that names its unit and default. */
function describedSchema(definition: FieldDefinition): z.ZodType {
  const unit = definition.unit === '' ? '' : ` Unit: ${definition.unit}.`;
  const fallback = definition.fallback;
  const inForce =
    fallback === undefined ? '' : ` Default: ${fallback === null ? 'no limit' : String(fallback)}.`;
  return definition.schema.optional().describe(`${definition.description}${unit}${inForce}`);
}

function fieldShape(kind: NodeKind): Record<string, z.ZodType> {
  const shape: Record<string, z.ZodType> = {};
  const groups: Record<string, Record<string, z.ZodType>> = {};
  for (const definition of FIELD_DEFINITIONS.filter((each) => allowsField(kind, each))) {
    const [group, name] = definition.name.split('.');
    if (group !== undefined && name !== undefined) {
      groups[group] = { ...groups[group], [name]: describedSchema(definition) };
    } else {
      shape[definition.name] = describedSchema(definition);
    }
  }
  for (const [group, fields] of Object.entries(groups)) shape[group] = z.strictObject(fields).optional();
  return shape;
}

function nodeSchema(kind: NodeKind, children: Record<string, z.ZodType> = {}): z.ZodType {
  const parent = z.string().optional().describe('Path of another node whose fields are inherited instead.');
  const inheritance = kind === 'defaults' ? {} : { parent };
  return z.strictObject({ ...fieldShape(kind), ...inheritance, ...children });
}

function childMap(schema: z.ZodType, description: string): z.ZodType {
  return z.record(z.string(), schema.nullable()).optional().describe(description);
}

/** Schema of a settings file. It judges single nodes; `validateDocument` judges the tree as a whole. */
function fileSchema(): z.ZodType {
  const backend = nodeSchema('backend');
  const service = nodeSchema('service', { backends: childMap(backend, 'Back ends by name.') });
  const site = nodeSchema('site', { services: childMap(service, 'Services by name.') });
  return z.strictObject({
    defaults: nodeSchema('defaults').optional().describe('Fields that every node inherits.'),
    sites: childMap(site, 'Sites by name.'),
  });
}

/** JSON Schema (draft 2020-12) of a settings file. */
export function fileJsonSchema(): Record<string, unknown> {
  return { title: 'sailquay settings tree', ...z.toJSONSchema(fileSchema()) };
}
