/**
 * The fields of the tree: where each may stand, its range, unit, built-in default and number on the wire.
 *
 * Owns every field and its wire number. Relies on `field-types.ts` for the kinds of values.
 */
import { z } from 'zod';
import {
  durationField,
  endpointField,
  numberField,
  shareField,
  type FieldDefinition,
} from './field-types.js';
import type { NodeKind } from './tree.js';

const ZONE_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

/** Every field, in the order in which documentation and output list them. */
export const FIELD_DEFINITIONS: readonly FieldDefinition[] = [
  endpointField({
    name: 'address',
    number: 1,
    scope: 'own-service',
    description: 'Service address and TCP port that callers use.',
  }),
  endpointField({
    name: 'endpoint',
    number: 2,
    scope: 'own-backend',
    description: 'Address and UDP port to which encapsulated packets of its flows are sent.',
  }),
  endpointField({
    name: 'healthEndpoint',
    number: 3,
    scope: 'own-backend',
    description: 'Address and TCP port of its HTTP health and load endpoints; as `endpoint` when absent.',
  }),
  {
    name: 'zone',
    number: 4,
    scope: 'backend',
    unit: '',
    schema: z.string().regex(ZONE_PATTERN),
    fallback: undefined,
    description: 'Zone in which the back end stands.',
    numeric: false,
    permitted: 'a name of 1 to 63 letters, digits, dots, dashes or underscores',
  },
  numberField(
    {
      name: 'weight',
      number: 5,
      scope: 'backend',
      unit: 'relative',
      fallback: 1,
      description: 'Relative share of first choices.',
    },
    { from: 0.001, to: 1_000, integer: false },
  ),
  numberField(
    {
      name: 'maxConnections',
      number: 6,
      scope: 'backend',
      unit: 'flows',
      fallback: 2_000,
      description: 'Open flows that one back end takes.',
    },
    { from: 1, to: 10_000_000 },
  ),
  numberField(
    {
      name: 'slots',
      number: 7,
      scope: 'backend',
      unit: 'requests',
      fallback: 2,
      description: 'Requests that one back end runs at once.',
    },
    { from: 1, to: 100_000 },
  ),
  {
    name: 'draining',
    number: 8,
    scope: 'backend',
    unit: '',
    schema: z.boolean(),
    fallback: false,
    description: 'A draining back end gets no new flow; its open flows stay.',
    numeric: false,
    permitted: 'true or false',
  },
  {
    name: 'unknownFlow',
    number: 9,
    scope: 'service',
    unit: '',
    schema: z.enum(['drop', 'reset']),
    fallback: 'reset',
    description: 'Answer to a mid-flow packet whose back end cannot be established.',
    numeric: false,
    permitted: 'drop or reset',
  },
  durationField(
    {
      name: 'idleTimeoutMs',
      number: 10,
      scope: 'service',
      fallback: 4 * HOUR_MS,
      description: 'An open flow without packets for this long is forgotten.',
    },
    1_000,
    7 * DAY_MS,
  ),
  shareField({
    name: 'zonePreference',
    number: 11,
    scope: 'service',
    fallback: 0,
    description: 'Load imbalance that zone preference may cost; 0 turns it off.',
  }),
  numberField(
    {
      name: 'limits.maxConnections',
      number: 12,
      scope: 'service',
      unit: 'flows',
      fallback: null,
      description: 'Open flows of the service.',
    },
    { from: 1, to: 1_000_000_000, nullable: true },
  ),
  numberField(
    {
      name: 'limits.openingsPerSecond',
      number: 13,
      scope: 'service',
      unit: 'openings/s',
      fallback: null,
      description: 'New flows a second of the service.',
    },
    { from: 1, to: 10_000_000, nullable: true },
  ),
  numberField(
    {
      name: 'limits.openingsPerSecondPerClient',
      number: 14,
      scope: 'service',
      unit: 'openings/s',
      fallback: null,
      description: 'New flows a second from one client address.',
    },
    { from: 1, to: 10_000_000, nullable: true },
  ),
  shareField({
    name: 'limits.retryBudgetShare',
    number: 15,
    scope: 'service',
    fallback: 0.1,
    description: 'Share of openings that may be retried on another back end.',
  }),
  durationField(
    {
      name: 'health.probeIntervalMs',
      number: 16,
      scope: 'service',
      fallback: 1_000,
      description: 'Time between two probes of a back end.',
    },
    50,
    HOUR_MS,
  ),
  durationField(
    {
      name: 'health.probeTimeoutMs',
      number: 17,
      scope: 'service',
      fallback: 400,
      description: 'A probe without an answer for this long has failed; at most the probe interval.',
    },
    10,
    HOUR_MS,
  ),
  numberField(
    {
      name: 'health.unhealthyThreshold',
      number: 18,
      scope: 'service',
      unit: 'probes',
      fallback: 3,
      description: 'Consecutive failed probes before a back end is unhealthy.',
    },
    { from: 1, to: 100 },
  ),
  numberField(
    {
      name: 'health.healthyThreshold',
      number: 19,
      scope: 'service',
      unit: 'probes',
      fallback: 2,
      description: 'Consecutive good probes before a back end is healthy again.',
    },
    { from: 1, to: 100 },
  ),
  shareField({
    name: 'health.maxEjectedShare',
    number: 20,
    scope: 'service',
    fallback: 0.3,
    description: 'Share of back ends that passive ejection may take out at once.',
  }),
  shareField({
    name: 'health.panicShare',
    number: 21,
    scope: 'service',
    fallback: 0.5,
    description: 'Below this share of healthy back ends all of them are used.',
  }),
  durationField(
    {
      name: 'health.slowStartMs',
      number: 22,
      scope: 'service',
      fallback: 10_000,
      description: 'Time over which a back end warms up after a start or recovery; 0 turns it off.',
    },
    0,
    HOUR_MS,
  ),
];

const BY_NAME = new Map(FIELD_DEFINITIONS.map((definition) => [definition.name, definition]));
const BY_NUMBER = new Map(FIELD_DEFINITIONS.map((definition) => [definition.number, definition]));

/** Definition of a field by name; undefined when there is none. */
export function fieldNamed(name: string): FieldDefinition | undefined {
  return BY_NAME.get(name);
}

/** Definition of a field by its wire number; undefined when there is none. */
export function fieldNumbered(number: number): FieldDefinition | undefined {
  return BY_NUMBER.get(number);
}

/** True when nodes of `kind` may set the field. */
export function allowsField(kind: NodeKind, definition: FieldDefinition): boolean {
  switch (definition.scope) {
    case 'backend':
      return true;
    case 'service':
      return kind !== 'backend';
    case 'own-service':
      return kind === 'service';
    case 'own-backend':
      return kind === 'backend';
  }
}

/** True when nodes below inherit the field. */
export function isInheritable(definition: FieldDefinition): boolean {
  return definition.scope === 'backend' || definition.scope === 'service';
}
