/** Logs errors of data sockets, at most one for each destination in `ERROR_REPORT_INTERVAL_MS`. */
import type { Clock } from '../common/clock.js';
import { formatEndpoint, type Endpoint } from '../common/types.js';
import type { EventLog } from '../observability/event.js';
import { ERROR_REPORT_INTERVAL_MS } from './constants.js';
import { FABRIC_EVENTS } from './events.js';

const NO_DESTINATION = 'shared socket';

interface Reported {
  readonly atMs: number;
  /** Errors left out since. */
  suppressed: number;
}

/** A destination that refuses each datagram would otherwise fill the log. */
export class SocketErrorReporter {
  private readonly reported = new Map<string, Reported>();

  constructor(
    private readonly events: EventLog,
    private readonly clock: Clock,
  ) {}

  /** A socket could not be connected to its destination; logged each time, since it happens once for each socket. */
  reportConnect(error: unknown, to: Endpoint): void {
    this.events.emit(FABRIC_EVENTS.connectFailed, { destination: formatEndpoint(to), error: String(error) });
  }

  /** An error of a socket; `to` is undefined for the shared one. */
  report(error: unknown, to: Endpoint | undefined): void {
    const destination = to ? formatEndpoint(to) : NO_DESTINATION;
    const last = this.reported.get(destination);
    if (last && this.clock.now() - last.atMs < ERROR_REPORT_INTERVAL_MS) {
      last.suppressed += 1;
      return;
    }
    this.reported.set(destination, { atMs: this.clock.now(), suppressed: 0 });
    const text = error instanceof Error ? error.message : String(error);
    this.events.emit(FABRIC_EVENTS.socketError, {
      destination,
      error: text,
      suppressed: last?.suppressed ?? 0,
    });
  }
}
