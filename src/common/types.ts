/** Small value types that several slices share. */

/** A UDP or TCP address: numeric IPv4 `host` and `port` 1–65535. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Writes an endpoint as `host:port`. */
export function formatEndpoint(endpoint: Endpoint): string {
  return `${endpoint.host}:${endpoint.port}`;
}

/** True when both endpoints name the same host and port. */
export function sameEndpoint(left: Endpoint, right: Endpoint): boolean {
  return left.port === right.port && left.host === right.host;
}

/** Base of every error kind of the project: a stable `kind`, a message, and what the reader can do about it. */
export abstract class SailquayError extends Error {
  /** Stable machine-readable name, e.g. `settings.duplicate-address`. */
  abstract readonly kind: string;

  constructor(
    /** What went wrong, without the remedy; `message` has both. */
    readonly problem: string,
    /** What to do about it, one sentence. */
    readonly remedy: string,
    options?: ErrorOptions,
  ) {
    super(`${problem}. ${remedy}`, options);
    this.name = new.target.name;
  }
}
