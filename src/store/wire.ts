/**
 * Shapes of the object API's JSON, checked on arrival (docs/PLATFORM.md is the reference).
 *
 * Owns the schemas. Relies on the platform for nothing: every answer is checked.
 */
import { z } from 'zod';

const version = z.number().int().nonnegative();

export const STORED_OBJECT = z.object({ key: z.string(), version, value: z.unknown() });
/** Answer 409 to a write: the version in the store, 0 when the object does not exist. */
export const VERSION_CONFLICT = z.object({ version });
export const LEASE_GRANT = z.object({
  name: z.string(),
  holder: z.string(),
  fencingToken: version,
  durationMs: z.number().positive(),
});
/** Answer 409 to a lease request. */
export const LEASE_CONFLICT = z.object({ holder: z.string() });

const endpoint = z.object({ host: z.string(), port: z.number().int().min(1).max(65_535) });
export const MACHINES = z.object({
  machines: z.array(
    z.object({
      name: z.string(),
      zone: z.string(),
      control: endpoint,
      admin: endpoint.optional(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Path of an object, watch or lease; names may hold slashes, each part is percent-encoded. */
export function resourcePath(collection: 'objects' | 'watches' | 'leases', name: string): string {
  return `/${collection}/${name.split('/').map(encodeURIComponent).join('/')}`;
}
