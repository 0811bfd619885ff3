/** The settings tree as operators write it: fields, levels, defaults, and what two trees mean. */
import { allowsField, FIELD_DEFINITIONS, isInheritable } from '../../src/settings/fields.js';
import { fileJsonSchema, nestTree, parseTreeText, resolveSettings } from '../../src/settings/index.js';
import { describeSchema, withoutTexts } from './operator-schemas.js';

const KINDS = ['defaults', 'site', 'service', 'backend'] as const;

const MINIMAL_TREE = `
sites:
  site:
    services:
      service:
        address: 10.0.0.1:80
        backends:
          backend: { endpoint: 10.1.0.1:6080, zone: a }
`;

const FULL_TREE = `
defaults: { weight: 2, slots: 3, idleTimeoutMs: 60000, health: { probeIntervalMs: 700 } }
sites:
  site:
    zone: a
    maxConnections: 300
    draining: true
    unknownFlow: drop
    zonePreference: 0.25
    limits: { maxConnections: 1000, openingsPerSecond: 50, openingsPerSecondPerClient: null, retryBudgetShare: 0.2 }
    health:
      probeTimeoutMs: 300
      unhealthyThreshold: 4
      healthyThreshold: 5
      maxEjectedShare: 0.4
      panicShare: 0.6
      slowStartMs: 2000
    services:
      service:
        address: 10.0.0.1:80
        slots: 4
        backends:
          first: { endpoint: 10.1.0.1:6080, healthEndpoint: 10.1.0.1:8080, weight: 0.5, draining: false }
          second: { endpoint: 10.1.0.2:6080, zone: b, parent: other/service }
  other:
    services:
      service: { address: 10.0.0.2:80, weight: 7, zone: c, unknownFlow: reset }
`;

function resolved(text: string): unknown {
  const document = parseTreeText(text).unwrapOr(undefined);
  if (document === undefined) throw new Error('The tree of the contract is not accepted');
  const settings = resolveSettings(document, 1);
  if (settings.isErr) throw new Error(JSON.stringify(settings.error));
  return { nested: nestTree(document), effective: settings.value };
}

/** Fields with type, range, default and levels; the file's schema; a minimal and a full tree with what they mean. */
export async function settingsTree(): Promise<unknown> {
  return {
    fields: FIELD_DEFINITIONS.map((definition) => ({
      name: definition.name,
      unit: definition.unit,
      default: definition.fallback === undefined ? 'must be set' : definition.fallback,
      levels: KINDS.filter((kind) => allowsField(kind, definition)),
      inherited: isInheritable(definition),
      values: describeSchema(definition.schema),
    })),
    file: withoutTexts(fileJsonSchema()),
    minimal: resolved(MINIMAL_TREE),
    full: resolved(FULL_TREE),
  };
}
