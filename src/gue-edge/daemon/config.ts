/**
 * Configuration of a daemon: command-line flags over the YAML file over defaults, checked by one schema.
 *
 * Owns the schema and the defaults. Relies on `constants.ts` for the default limits.
 */
import { readFileSync } from 'node:fs';
import { parse as parseYaml } from 'yaml';
import { z } from 'zod';
import { parseEndpoint } from '../../common/endpoint-text.js';
import type { Endpoint } from '../../common/types.js';
import { DEFAULT_BUDGET_BYTES_PER_SECOND } from '../control/constants.js';
import { DEFAULT_EXCEPTION_BYTES_PER_SECOND } from '../placement/index.js';
import * as defaults from './constants.js';
import { DaemonError, type ConfigFault } from './errors.js';

const MAX_PORT = 65_535;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const name = z
  .string()
  .regex(NAME_PATTERN, 'use 1 to 63 letters, digits, ".", "_" or "-", starting with one of the first two');

/** `host:port` with a numeric IPv4 host; port 0 (the kernel chooses) only where `allowZero`. */
function endpoint(allowZero: boolean) {
  const smallest = allowZero ? 0 : 1;
  return z.string().transform((text, context): Endpoint => {
    const parsed = parseEndpoint(text, smallest);
    if (parsed) return parsed;
    context.addIssue(
      `"${text}" is not an address: write IPv4:port with a port of ${smallest} to ${MAX_PORT}`,
    );
    return z.NEVER;
  });
}

const positiveInteger = z.int().positive();

const limits = z.strictObject({
  /** Open flows kept at once. */
  maxFlows: positiveInteger.default(defaults.DEFAULT_MAX_FLOWS),
  /** Openings waiting for a backup at once. */
  maxPendingOpenings: positiveInteger.default(defaults.DEFAULT_MAX_PENDING_OPENINGS),
  /** Resident memory of the process. */
  maxMemoryMegabytes: positiveInteger.default(defaults.DEFAULT_MAX_MEMORY_MEGABYTES),
});

const log = z.strictObject({
  format: z.enum(['text', 'json']).default('text'),
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

const drain = z.strictObject({
  /** A stopping daemon ends after this many ms without a data packet. */
  quietMs: positiveInteger.default(defaults.DEFAULT_DRAIN_QUIET_MS),
  /** It ends after this many ms in any case. */
  maxMs: positiveInteger.default(defaults.DEFAULT_DRAIN_MAX_MS),
});

/** Schema of the configuration file. */
export const daemonConfigSchema = z.strictObject({
  /** Unique in the region. */
  id: name,
  region: name,
  zone: name,
  /** UDP address of authenticated messages between balancers. */
  control: endpoint(true),
  /** UDP address of data packets from the fabric and from other balancers. */
  data: endpoint(true),
  /** HTTP address of metrics, readiness and status. */
  admin: endpoint(true),
  /** Where packets for callers are sent. */
  fabricReturn: endpoint(false),
  /** Base URL of the platform's object API; without it the daemon learns settings from its peers only. */
  platform: z.url({ protocol: /^https?$/ }).optional(),
  /** Control addresses of some other balancers of the region. */
  seeds: z.array(endpoint(false)).default([]),
  /** File with the cluster's keys. */
  clusterKeyFile: z.string().min(1),
  placement: z
    .enum(['bounded-load', 'rendezvous', 'local-table', 'random', 'least-reported-load'])
    .default('bounded-load'),
  controlBudgetBytesPerSecond: positiveInteger.default(DEFAULT_BUDGET_BYTES_PER_SECOND),
  /** Part of the control budget that records of exceptions may cost; fewer exceptions are made beyond it. */
  exceptionBytesPerSecond: positiveInteger.default(DEFAULT_EXCEPTION_BYTES_PER_SECOND),
  limits: limits.prefault({}),
  log: log.prefault({}),
  drain: drain.prefault({}),
});

/** Fields that hold a group of fields. */
const GROUPS: ReadonlySet<string> = new Set(['limits', 'log', 'drain']);

/** A checked configuration. */
export type DaemonConfig = z.output<typeof daemonConfigSchema>;

/** A configuration as it is written, before defaults. */
export type DaemonConfigInput = z.input<typeof daemonConfigSchema>;

/** Values given as flags; nested groups are merged field by field over the file. */
export type ConfigOverrides = Partial<Omit<DaemonConfigInput, 'limits' | 'log' | 'drain'>> &
  Pick<DaemonConfigInput, 'limits' | 'log' | 'drain'>;

/** Reads `path` (undefined: flags only). Throws `daemon.config-unreadable` or `daemon.config-invalid`. */
export function loadDaemonConfig(path: string | undefined, overrides: ConfigOverrides = {}): DaemonConfig {
  const file = path === undefined ? {} : readYaml(path);
  return parseDaemonConfig(mergeLayers(file, overrides), path);
}

/** Checks a configuration value and adds the defaults. Throws `daemon.config-invalid` with every fault. */
export function parseDaemonConfig(value: unknown, source = 'flags'): DaemonConfig {
  const result = daemonConfigSchema.safeParse(value, { reportInput: true });
  if (result.success) return result.data;
  const faults = result.error.issues.flatMap(describeIssue);
  const list = faults.map((fault) => `${fault.path}: ${fault.message}`).join('; ');
  throw new DaemonError(
    'daemon.config-invalid',
    `the daemon configuration (${source}) has ${faults.length} fault(s): ${list}`,
    'Correct the named fields in the file or give them as flags',
    { faults },
  );
}

/** Fields whose values differ, with groups written as `group.field`. */
export function changedFields(before: DaemonConfig, after: DaemonConfig): string[] {
  const old = leaves(before);
  const next = leaves(after);
  return [...new Set([...old.keys(), ...next.keys()])].filter((field) => old.get(field) !== next.get(field));
}

/** Each field as text; groups are taken apart, addresses and lists are not. */
function leaves(config: DaemonConfig): Map<string, string> {
  const fields = Object.entries(config).flatMap(([field, value]): [string, unknown][] =>
    GROUPS.has(field)
      ? Object.entries(value as object).map(([name, part]) => [`${field}.${name}`, part])
      : [[field, value]],
  );
  return new Map(fields.map(([field, value]) => [field, JSON.stringify(value)]));
}

function readYaml(path: string): Record<string, unknown> {
  let value: unknown;
  try {
    value = parseYaml(readFileSync(path, 'utf8'));
  } catch (cause) {
    throw new DaemonError(
      'daemon.config-unreadable',
      `cannot read the daemon configuration ${path}: ${(cause as Error).message}`,
      'Give the path of a YAML file that this process may read',
      { cause },
    );
  }
  if (isRecord(value)) return value;
  throw new DaemonError(
    'daemon.config-invalid',
    `the daemon configuration ${path} is not a mapping`,
    'Write one field a line, such as "id: balancer-1"',
    { faults: [{ path: '', message: 'expected a mapping' }] },
  );
}

function mergeLayers(file: Record<string, unknown>, flags: ConfigOverrides): Record<string, unknown> {
  const merged: Record<string, unknown> = { ...file };
  for (const [field, value] of Object.entries(flags)) {
    if (value === undefined) continue;
    const below = merged[field];
    merged[field] = isRecord(value) && isRecord(below) ? { ...below, ...withoutUndefined(value) } : value;
  }
  return merged;
}

function withoutUndefined(group: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(group).filter(([, value]) => value !== undefined));
}

function describeIssue(issue: z.core.$ZodIssue): ConfigFault[] {
  const path = issue.path.join('.');
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      path: path ? `${path}.${key}` : key,
      message: 'unknown field; remove it',
    }));
  }
  const missing = issue.code === 'invalid_type' && issue.input === undefined;
  return [{ path, message: missing ? 'missing; write it in the file or give its flag' : issue.message }];
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
