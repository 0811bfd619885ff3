/**
 * Finds out by connections whether anything listens at a back end's address. Two that overlap are as good as two in a row, and take a
 * third of the time less: a single one may be lost on its way.
 */
import type { Clock } from '../../common/clock.js';
import { pause } from '../../common/pause.js';
import type { PauseDetector } from '../../common/pause-detector.js';
import type { Endpoint } from '../../common/types.js';
import { PROBE_LATE_MS, PROBE_SPACING_MS, PROBE_TIMEOUT_MS } from './constants.js';

/** What a connection to a back end's address met. */
export type ProbeOutcome = 'answered' | 'refused' | 'silent';

/** What one probe, or a pair, tells; `inconclusive` when this process may have slept through the answer. */
export type ProbeFinding = ProbeOutcome | 'inconclusive';

/** Opens a connection and closes it as soon as it is answered. Never rejects. */
export type ConnectProbe = (endpoint: Endpoint, timeoutMs: number) => Promise<ProbeOutcome>;

/** What a prober needs. */
export interface BackendProberOptions {
  readonly clock: Clock;
  readonly pauses: PauseDetector;
  readonly probe: ConnectProbe;
}

/** See the module. */
export class BackendProber {
  private probeCount = 0;

  constructor(private readonly options: BackendProberOptions) {}

  /** Probes sent since start. */
  get probes(): number {
    return this.probeCount;
  }

  /**
   * Sends two probes that overlap; `silent` when neither is answered.
   *
   * @param onUnanswered called when the first one is unanswered as the second is sent
   */
  async probeTwice(endpoint: Endpoint, onUnanswered: () => void): Promise<ProbeFinding> {
    const first = this.probeOnce(endpoint);
    const early = await Promise.race([first, pause(this.options.clock, PROBE_SPACING_MS)]);
    if (early === 'answered' || early === 'refused') return early;
    onUnanswered();
    const findings = [await this.probeOnce(endpoint), await first];
    if (findings.includes('answered')) return 'answered';
    if (findings.includes('refused')) return 'refused';
    return findings.includes('inconclusive') ? 'inconclusive' : 'silent';
  }

  private async probeOnce(endpoint: Endpoint): Promise<ProbeFinding> {
    const { clock, probe, pauses } = this.options;
    const startedMs = clock.now();
    this.probeCount += 1;
    const outcome = await probe(endpoint, PROBE_TIMEOUT_MS);
    const nowMs = clock.now();
    const isLate = nowMs - startedMs > PROBE_TIMEOUT_MS + PROBE_LATE_MS;
    return outcome !== 'answered' && (isLate || pauses.mayBeOld(nowMs)) ? 'inconclusive' : outcome;
  }
}
