/** Messages of every protobuf file: names, field numbers and types. A file is found by its name, wherever it lies. */
import { readdirSync, readFileSync } from 'node:fs';
import { basename, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import protobuf from 'protobufjs';

const SOURCE_DIRECTORY = fileURLToPath(new URL('../../src/', import.meta.url));
const ENDING = '.proto';

/** Every protobuf file, without its ending. */
const NAMES = ['control', 'dissemination', 'flow', 'health', 'membership', 'spreading', 'tree'];

function describeField(field: protobuf.Field): unknown {
  return {
    number: field.id,
    type: field instanceof protobuf.MapField ? `map<${field.keyType}, ${field.type}>` : field.type,
    repeated: field.repeated,
    ...(field.partOf && { oneof: field.partOf.name }),
  };
}

function describeMessage(message: protobuf.Type): unknown {
  const fields = message.fieldsArray.map((field) => [field.name, describeField(field)] as const);
  return { fields: Object.fromEntries(fields), ...(message.reserved && { reserved: message.reserved }) };
}

/** The messages and enumerations below a namespace, by their names. */
function describeNamespace(namespace: protobuf.NamespaceBase): Record<string, unknown> {
  const found: Record<string, unknown> = {};
  for (const entry of namespace.nestedArray) {
    if (entry instanceof protobuf.Enum) found[entry.name] = { values: entry.values };
    else if (entry instanceof protobuf.Type) found[entry.name] = describeMessage(entry);
    if (entry instanceof protobuf.Namespace) Object.assign(found, describeNamespace(entry));
  }
  return found;
}

function describeFile(path: string): unknown {
  const { root } = protobuf.parse(readFileSync(path, 'utf8'), { keepCase: true });
  return describeNamespace(root);
}

/** The schemas by the names of their files. */
export function computeSchemas(): Promise<unknown> {
  const paths = readdirSync(SOURCE_DIRECTORY, { recursive: true, encoding: 'utf8' });
  const schemas = NAMES.map((name) => {
    const found = paths.filter((path) => basename(path) === `${name}${ENDING}`);
    const [path] = found;
    if (path === undefined || found.length > 1) {
      throw new Error(`There are ${found.length} files ${name}${ENDING} in place of one`);
    }
    return [name, describeFile(join(SOURCE_DIRECTORY, path))] as const;
  });
  return Promise.resolve(Object.fromEntries(schemas));
}
