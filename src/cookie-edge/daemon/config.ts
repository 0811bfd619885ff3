/**
 * Configuration of a daemon on a cookie edge: one JSON or YAML file, validated before use. Owns the schema and the list
 * of reloadable fields; `run.ts` rereads the file. Ignores unknown fields, since a newer build may have written the
 * file.
 */
import { readFileSync } from 'node:fs';
import * as z from 'zod/mini';
import { parseEndpoint } from '../../common/endpoint-text.js';
import { MECHANISMS } from '../../common/mechanisms.js';
import type { Endpoint } from '../../common/types.js';
import { DEFAULT_GATHER_MS } from '../../observability/line-writer.js';
import { DEFAULT_OUTLIER_OPTIONS } from '../outliers/constants.js';
import { DEFAULT_FRESHNESS_BOUND_MS } from '../routing/freshness.js';
import * as defaults from './constants.js';
import { CookieDaemonError } from './errors.js';

const MIN_LOCAL_PORT = 0;
const MAX_PORT = 65_535;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const nameSchema = z.string().check(z.regex(NAME_PATTERN, 'use 1 to 63 letters, digits, ".", "_" or "-"'));
const positiveMsSchema = z.int().check(z.positive());

/** `host:port` with a numeric IPv4 host. Port 0 (the kernel chooses) is valid only for local addresses. */
function endpointSchema(minPort: number) {
  const text = z.string().check(
    z.refine((value) => parseEndpoint(value, minPort) !== undefined, {
      error: `write IPv4:port with a port of ${minPort} to 65535`,
    }),
  );
  return z.pipe(
    text,
    z.transform((value): Endpoint => parseEndpoint(value, minPort) as Endpoint),
  );
}

const localAddressSchema = endpointSchema(MIN_LOCAL_PORT);
const remoteAddressSchema = endpointSchema(1);

/** Schema of the configuration file. */
export const cookieDaemonConfigSchema = z.object({
  /** Unique among all daemons. */
  id: nameSchema,
  region: nameSchema,
  zone: nameSchema,
  /** UDP address on which callers' packets arrive. */
  data: localAddressSchema,
  /** HTTP address of the readiness, status and metrics pages. */
  admin: localAddressSchema,
  /** UDP and TCP address for messages between daemons. */
  control: localAddressSchema,
  /** Control addresses of some peers; they may be stale. */
  seeds: z._default(z.array(remoteAddressSchema), []),
  /** Control port of all daemons. If given, it replaces the ports of `seeds`. */
  seedPort: z.optional(z.int().check(z.positive(), z.maximum(MAX_PORT))),
  /** Address of the source of routes and back ends. */
  source: remoteAddressSchema,
  /** Bounds in ms within which each kind of change must be in force on all daemons. The smallest bound applies. */
  changeBoundsMs: z._default(z.array(positiveMsSchema).check(z.minLength(1)), [DEFAULT_FRESHNESS_BOUND_MS]),
  /**
   * Bound in ms within which a cordon must be in force on all daemons. Without it the daemon does not read cordons.
   */
  cordonBoundMs: z.optional(positiveMsSchema),
  /**
   * Region of each zone. Required if routes are limited to regions: such a route never uses a back end whose zone is
   * not listed here.
   */
  zoneRegions: z._default(z.record(z.string(), z.string()), {}),
  /**
   * Limits of `ColdAdmission` for a cold back end, over all daemons: a factor on its rate, and a number of openings.
   */
  coldOverage: z._default(z.number().check(z.positive()), defaults.DEFAULT_COLD_OVERAGE),
  coldSlack: z._default(z.number().check(z.nonnegative()), defaults.DEFAULT_COLD_SLACK),
  /** Maximum lifetime of a flow in ms. */
  maxFlowAgeMs: z._default(positiveMsSchema, defaults.DEFAULT_MAX_FLOW_AGE_MS),
  /**
   * Flows per unit of capacity by which another zone must be less loaded to be preferred; 0 disables this margin.
   */
  zoneMargin: z._default(z.number().check(z.nonnegative()), defaults.DEFAULT_ZONE_MARGIN),
  /** Factor by which the load of back ends of other zones is multiplied; with 1 only the margin applies. */
  zoneLoadFactor: z._default(z.number().check(z.minimum(1)), defaults.DEFAULT_ZONE_LOAD_FACTOR),
  /** Outlier detection; see `OutlierOptions` for the fields. */
  outliers: z.prefault(
    z.object({
      slowFactor: z._default(z.number().check(z.gt(1)), DEFAULT_OUTLIER_OPTIONS.slowFactor),
      quorum: z._default(z.int().check(z.positive()), DEFAULT_OUTLIER_OPTIONS.quorum),
      maxAvoidedShare: z._default(
        z.number().check(z.gt(0), z.lt(1)),
        DEFAULT_OUTLIER_OPTIONS.maxAvoidedShare,
      ),
    }),
    {},
  ),
  /** Keeps a roster of back ends in the source's store. Without it there is no roster. */
  roster: z.optional(z.object({ maxPageBytes: z.int().check(z.positive()) })),
  /** Mechanisms to switch off for an experiment (`src/common/mechanisms.ts`). */
  switchedOff: z._default(z.array(z.enum(MECHANISMS)), []),
  limits: z.prefault(
    z.object({ maxFlows: z._default(z.int().check(z.positive()), defaults.DEFAULT_MAX_FLOWS) }),
    {},
  ),
  drain: z.prefault(
    z.object({
      /** Minimum time of forwarding after a stop request, in ms. */
      minMs: z._default(positiveMsSchema, defaults.DEFAULT_DRAIN_MIN_MS),
      /** After `minMs` the daemon exits once no packet has arrived for this many ms. */
      quietMs: z._default(positiveMsSchema, defaults.DEFAULT_DRAIN_QUIET_MS),
      /** Maximum time of forwarding after a stop request, in ms. */
      maxMs: z._default(positiveMsSchema, defaults.DEFAULT_DRAIN_MAX_MS),
    }),
    {},
  ),
  log: z.prefault(
    z.object({
      level: z._default(z.enum(['debug', 'info', 'warn', 'error']), 'info'),
      /** Maximum number of log lines for each event in ten seconds. */
      burst: z._default(z.int().check(z.positive()), defaults.DEFAULT_LOG_BURST),
      /**
       * Time in ms for which log lines gather before they are written. With 0 the line of a decision is written before
       * its packet is sent, and a killed process loses no line. Applied at the start only.
       */
      gatherMs: z._default(z.int().check(z.nonnegative()), DEFAULT_GATHER_MS),
    }),
    {},
  ),
});

/** A validated configuration. */
export type CookieDaemonConfig = z.output<typeof cookieDaemonConfigSchema>;

/** Fields that a reload applies; the others need a restart. */
const RELOADABLE: ReadonlySet<string> = new Set(['limits', 'drain', 'log', 'seeds', 'seedPort']);

/** Reads a configuration file. Throws `CookieDaemonError`. */
export async function loadCookieDaemonConfig(path: string): Promise<CookieDaemonConfig> {
  return checkCookieDaemonConfig(await parseText(readText(path), path), path);
}

/** Validates a configuration and adds the defaults. Throws `cookie-daemon.config-invalid` with all faults. */
export function checkCookieDaemonConfig(value: unknown, source: string): CookieDaemonConfig {
  const result = cookieDaemonConfigSchema.safeParse(value);
  if (result.success) return result.data;
  const faults = result.error.issues.map(({ path, message }) => `${path.join('.') || 'file'}: ${message}`);
  throw new CookieDaemonError(
    'cookie-daemon.config-invalid',
    `the configuration (${source}) has ${faults.length} fault(s): ${faults.join('; ')}`,
    'Correct the named fields',
  );
}

/** Returns the top-level fields whose values differ, and those among them that a reload cannot apply. */
export function compareConfigs(
  previous: CookieDaemonConfig,
  next: CookieDaemonConfig,
): { readonly changed: readonly string[]; readonly needsRestart: readonly string[] } {
  const fields = Object.keys(next) as (keyof CookieDaemonConfig)[];
  const changed = fields.filter((field) => JSON.stringify(previous[field]) !== JSON.stringify(next[field]));
  return { changed, needsRestart: changed.filter((field) => !RELOADABLE.has(field)) };
}

function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (cause) {
    throw unreadableError(path, cause, 'Give the path of a file that this process may read');
  }
}

/** Parses JSON without loading the YAML library, which would slow down each start. */
async function parseText(text: string, path: string): Promise<unknown> {
  try {
    if (text.trimStart().startsWith('{')) return JSON.parse(text);
    const { parse } = await import('yaml');
    return parse(text);
  } catch (cause) {
    throw unreadableError(path, cause, 'Write JSON or YAML');
  }
}

function unreadableError(path: string, cause: unknown, remedy: string): CookieDaemonError {
  return new CookieDaemonError(
    'cookie-daemon.config-unreadable',
    `cannot read the configuration ${path}: ${(cause as Error).message}`,
    remedy,
    { cause },
  );
}
