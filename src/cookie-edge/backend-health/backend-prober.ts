/**
 * Sends probes: connections that test whether a process listens at a back end's address. Owns the count of probes;
 * `dead-verdict.ts` decides what they mean. Relies on the pause detector to recognize a pause of this process, in which
 * an answer may have been missed.
 */
import type { Clock } from '../../common/clock.js';
import type { PauseDetector } from '../../common/pause-detector.js';
import { pause } from '../../common/pause.js';
import type { Endpoint } from '../../common/types.js';
import { PROBE_SPACING_MS, PROBE_TIMEOUT_MS } from './constants.js';
import { findingOf, findingOfPair } from './dead-verdict.js';

/** How a connection to a back end's address ended; `silent`: no response until the timeout. */
export type ProbeOutcome = 'answered' | 'refused' | 'silent';

/** Result of one probe or of a pair; `inconclusive` when this process may have paused while the answer came. */
export type ProbeFinding = ProbeOutcome | 'inconclusive';

/** Opens a connection and closes it as soon as it is answered. Never rejects. */
export type ConnectProbe = (endpoint: Endpoint, timeoutMs: number) => Promise<ProbeOutcome>;

/** What a prober needs. */
export interface BackendProberOptions {
  readonly clock: Clock;
  readonly pauses: PauseDetector;
  readonly probe: ConnectProbe;
}

/** Probes back ends and counts the probes. */
export class BackendProber {
  private probeCount = 0;

  constructor(private readonly options: BackendProberOptions) {}

  /** Probes sent since start. */
  get probes(): number {
    return this.probeCount;
  }

  /**
   * Sends a second probe `PROBE_SPACING_MS` after the first, unless that was answered or refused by then. Never
   * rejects.
   *
   * @param onUnanswered called just before the second probe is sent
   */
  async probeTwice(endpoint: Endpoint, onUnanswered: () => void): Promise<ProbeFinding> {
    const first = this.probeOnce(endpoint);
    const early = await Promise.race([first, pause(this.options.clock, PROBE_SPACING_MS)]);
    if (early === 'answered' || early === 'refused') return early;
    onUnanswered();
    const second = await this.probeOnce(endpoint);
    return findingOfPair(await first, second);
  }

  private async probeOnce(endpoint: Endpoint): Promise<ProbeFinding> {
    const { clock, probe, pauses } = this.options;
    const startedMs = clock.now();
    this.probeCount += 1;
    const outcome = await probe(endpoint, PROBE_TIMEOUT_MS);
    const nowMs = clock.now();
    return findingOf(outcome, nowMs - startedMs, pauses.mayHaveWaited(nowMs));
  }
}
