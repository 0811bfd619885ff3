/** A schema as a JSON value. */
import { z } from 'zod';

/** JSON Schema of what a file may hold, without descriptions, which may be reworded. */
export function describeSchema(schema: z.core.$ZodType): unknown {
  return withoutTexts(z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }));
}

/** Drops descriptions and titles that are texts, and the order of names; fields called so stay. */
export function withoutTexts(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(withoutTexts);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value)
      .filter(([key, part]) => !(['description', 'title'].includes(key) && typeof part === 'string'))
      .map(([key, part]) => [key, isNameList(key, part) ? [...part].sort() : withoutTexts(part)]),
  );
}

function isNameList(key: string, part: unknown): part is string[] {
  return ['required', 'enum'].includes(key) && Array.isArray(part);
}
