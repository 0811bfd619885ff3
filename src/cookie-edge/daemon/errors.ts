/** Errors of a daemon on a cookie edge: its configuration is unreadable or invalid. */
import { SailquayError } from '../../common/types.js';

type CookieDaemonErrorKind = 'cookie-daemon.config-unreadable' | 'cookie-daemon.config-invalid';

/** Configuration error: the daemon does not start, or keeps its previous configuration after a reload. */
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
