/**
 * Sends probes: connections that test whether a process listens at a back end's address. Owns the count of probes;
 * `dead-verdict.ts` interprets their results. Relies on the pause detector, because this process may miss an answer
 * while it is paused.
 */
import type { Clock } from '../../common/clock.js';
import type { PauseDetector } from '../../common/pause-detector.js';
import { pause } from '../../common/pause.js';
import type { Endpoint } from '../../common/types.js';
import type { EventLog } from '../../observability/event.js';
import { COOKIE_FLOW_EVENTS } from '../forwarding/events.js';
import type { KnownBackend } from '../routing/index.js';
import { PROBE_SPACING_MS, PROBE_TIMEOUT_MS } from './constants.js';
import { evaluateProbe, combineFindings } from './dead-verdict.js';

/**
 * How a connection to a back end's address ended. `answered`: it was accepted. `reset`: it was reset after its
 * handshake. `refused`: the first packet was answered with a reset. `silent`: no response before the timeout.
 */
export type ProbeOutcome = 'answered' | 'reset' | 'refused' | 'silent';

/** Result of one probe or of a pair; `inconclusive`: this process may have been paused when the answer came. */
export type ProbeFinding = Exclude<ProbeOutcome, 'reset'> | 'inconclusive';

/** Opens a connection and closes it as soon as the other side answers. Never rejects. */
export type ConnectProbe = (endpoint: Endpoint, timeoutMs: number) => Promise<ProbeOutcome>;

/** Dependencies of `BackendProber`. */
export interface BackendProberOptions {
  readonly clock: Clock;
  readonly pauses: PauseDetector;
  readonly probe: ConnectProbe;
  readonly events: EventLog;
}

/** Probes back ends and counts the probes. */
export class BackendProber {
  private probeCount = 0;

  constructor(private readonly options: BackendProberOptions) {}

  /** Probes sent since start. */
  get probesSent(): number {
    return this.probeCount;
  }

  /**
   * Sends a probe, and a second one `PROBE_SPACING_MS` later unless the first has been answered or refused by then.
   * Never rejects.
   *
   * @param onUnanswered called just before the second probe is sent
   */
  async probeTwice(backend: KnownBackend, onUnanswered: () => void): Promise<ProbeFinding> {
    const firstProbe = this.probeOnce(backend);
    const earlyResult = await Promise.race([firstProbe, pause(this.options.clock, PROBE_SPACING_MS)]);
    if (earlyResult === 'answered' || earlyResult === 'refused') return earlyResult;
    onUnanswered();
    const secondFinding = await this.probeOnce(backend);
    return combineFindings(await firstProbe, secondFinding);
  }

  private async probeOnce({ id, record }: KnownBackend): Promise<ProbeFinding> {
    const { clock, probe, pauses, events } = this.options;
    const startedMs = clock.now();
    this.probeCount += 1;
    const outcome = await probe(record.endpoint, PROBE_TIMEOUT_MS);
    const nowMs = clock.now();
    const tookMs = nowMs - startedMs;
    const finding = evaluateProbe(outcome, tookMs, pauses.mayHaveWaited(nowMs));
    if (outcome !== 'answered')
      events.emit(COOKIE_FLOW_EVENTS.probeFailed, {
        backend: id,
        outcome,
        finding,
        tookMs: Math.round(tookMs),
      });
    return finding;
  }
}
