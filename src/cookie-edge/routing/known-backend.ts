/**
 * State that one daemon keeps for a back end, and the log fields of its record. `BackendRegistry` owns the objects.
 */
import { formatEndpoint } from '../../common/types.js';
import type { RoutedBackend } from './types.js';

/** A back end and what this daemon knows of it. One object per id and incarnation, mutated in place. */
export interface KnownBackend {
  readonly id: string;
  record: RoutedBackend;
  /** True while its record is missing from the source. */
  departed: boolean;
  /**
   * True for a departed back end whose record may only have expired, so that the process may still run. Never true for
   * one that was draining, because it left on purpose.
   */
  lapsed: boolean;
  /** Highest revision at which it was removed; records up to this revision are outdated. */
  removedRevision: number;
  /**
   * True for a departed back end that the source has never listed to this daemon. It is known only from the roster or a
   * peer, so no sign of life can be expected yet.
   */
  isNeverListed?: boolean;
  /** Monotonic ms at which it departed; undefined while it is listed. */
  departedAtMs: number | undefined;
  /** Monotonic ms at which its slow start ends. */
  coldUntilMs: number;
  /** Set for a departed back end that the source lists again after a restore from an older backup. */
  restored?: RestoredRecord;
}

/** A record that may have reappeared only because the source was restored from an older backup. */
interface RestoredRecord {
  readonly record: RoutedBackend;
  /** Monotonic ms at which it was listed again. */
  readonly listedAtMs: number;
}

/** Returns the log fields of a record. */
export function describeRecord(record: RoutedBackend): Readonly<Record<string, string | number | boolean>> {
  return {
    backend: record.id,
    service: record.service,
    endpoint: formatEndpoint(record.endpoint),
    zone: record.zone,
    draining: record.draining,
    coldMs: record.coldMs,
    revision: record.revision,
  };
}
