/** Errors of the daemon's configuration and life. */
import { SailquayError } from '../../common/types.js';

type DaemonErrorKind = 'daemon.config-unreadable' | 'daemon.config-invalid' | 'daemon.bind';

/** One fault of a daemon configuration. */
export interface ConfigFault {
  /** Field as it is written in the file, e.g. `limits.maxFlows`. */
  readonly path: string;
  readonly message: string;
}

/** What an error tells beside its message. */
interface DaemonErrorDetails {
  readonly faults?: readonly ConfigFault[];
  /** The error that led to it. */
  readonly cause?: unknown;
}

/** A daemon that cannot start as configured. */
export class DaemonError extends SailquayError {
  /** Every fault of the configuration; empty for other kinds. */
  readonly faults: readonly ConfigFault[];

  constructor(
    readonly kind: DaemonErrorKind,
    message: string,
    remedy: string,
    { faults = [], cause }: DaemonErrorDetails = {},
  ) {
    super(message, remedy, cause === undefined ? undefined : { cause });
    this.faults = faults;
  }
}
