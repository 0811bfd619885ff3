/** Errors of a daemon on a cookie edge: a configuration that cannot be read, or is invalid. */
import { SailquayError } from '../../common/types.js';

type CookieDaemonErrorKind = 'cookie-daemon.config-unreadable' | 'cookie-daemon.config-invalid';

/** The daemon cannot start, or keeps its old configuration. */
export class CookieDaemonError extends SailquayError {
  constructor(
    readonly kind: CookieDaemonErrorKind,
    problem: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(problem, remedy, options);
  }
}
