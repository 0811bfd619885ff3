/**
 * A back end as one daemon knows it, and how log lines tell of its record. The objects belong to `BackendRegistry`.
 */
import { formatEndpoint } from '../../common/types.js';
import type { RoutedBackend } from './types.js';

/** A back end as this daemon sees it. One object for each id and incarnation, changed in place. */
export interface KnownBackend {
  readonly id: string;
  record: RoutedBackend;
  /** True while its record is gone from the source. */
  departed: boolean;
  /** True for a departed back end whose record may only have lapsed; one that was draining left on purpose. */
  lapsed: boolean;
  /** Highest revision of a removal of it; records up to it do not bring it back. */
  removedRevision: number;
  /**
   * True for a lapsed back end that this daemon has never seen listed: it knows it from the roster or from another
   * daemon, so that no sign of life can be expected of it yet.
   */
  remembered?: boolean;
  /** Monotonic ms at which it departed; undefined while it is recorded. */
  departedAtMs: number | undefined;
  /** Monotonic ms until which it is slow from its start. */
  coldUntilMs: number;
  /** Of a departed back end: its record in the copy from which the source was restored. */
  restored?: RestoredRecord;
}

/** A record that may be back only because the source was restored from an older copy. */
interface RestoredRecord {
  readonly record: RoutedBackend;
  /** Monotonic ms at which it was listed again. */
  readonly atMs: number;
}

/** The fields of a record for a log line. */
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
