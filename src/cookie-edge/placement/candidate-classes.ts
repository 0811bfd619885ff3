/**
 * Rule: the class of each candidate for a new flow, by what this balancer knows of its health.
 *
 * Keeps new flows away from back ends that probably do not answer, as long as others do. Does no input or output.
 *
 * Inputs: the state of the back end, the current time (monotonic ms), the slow handshake threshold (ms) and the verdict
 * of outlier detection. Order: a departed record first, because its back end serves only as a last resort and only if
 * it is alive; then liveness; then the outlier verdict, because it applies only to back ends that are otherwise alive.
 * A back end of which nothing is known is alive.
 */
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { LocalBackendState, Liveness } from '../backend-health/index.js';
import type { KnownBackend } from '../routing/index.js';
import { LAPSED_RECORD_TTL_MS } from './constants.js';

/** `trial`: ejected and due for a trial opening. `lapsed`: its record is gone, but the back end is probably alive. */
export type CandidateClass = Liveness | 'outlier' | 'lapsed';

/** Inputs of the classification for one new flow. */
export interface ClassificationRequest {
  readonly backends: Iterable<KnownBackend>;
  /** Returns the state of a back end if it may get the flow, or undefined if it is excluded. */
  readonly eligibleStateOf: (backend: KnownBackend) => LocalBackendState | undefined;
  /** True for an outlier that may not get this flow, not even as an outlier trial. */
  readonly isOutlier?: (state: LocalBackendState) => boolean;
  readonly nowMs: number;
  /** A back end with a handshake pending longer than this, in ms, is suspect. */
  readonly slowHandshakeMs: number;
}

/** Candidates by class, each in the order of the request. */
export interface Candidates {
  readonly alive: LocalBackendState[];
  readonly outlier: LocalBackendState[];
  readonly suspect: LocalBackendState[];
  /** Includes back ends that are due for a trial opening. */
  readonly ejected: LocalBackendState[];
  readonly lapsed: LocalBackendState[];
  /** The first ejected back end that is due for a trial opening. */
  trial: LocalBackendState | undefined;
}

/** Sorts back ends into classes. */
export class CandidateClassifier {
  constructor(private readonly isOn: MechanismCheck = ALL_MECHANISMS_ON) {}

  /** Returns the candidates among the back ends of a request. */
  classify(request: ClassificationRequest): Candidates {
    const candidates: Candidates = {
      alive: [],
      outlier: [],
      suspect: [],
      ejected: [],
      lapsed: [],
      trial: undefined,
    };
    for (const backend of request.backends) {
      const state = request.eligibleStateOf(backend);
      const candidateClass = state && this.classOf(state, request);
      if (!candidateClass) continue;
      if (candidateClass === 'trial') {
        candidates.trial ??= state;
        candidates.ejected.push(state);
      } else candidates[candidateClass].push(state);
    }
    return candidates;
  }

  /**
   * Returns the class of a back end that may get the flow, or undefined for a departed back end that does not qualify
   * as a last resort.
   */
  classOf(state: LocalBackendState, request: ClassificationRequest): CandidateClass | undefined {
    const liveness = this.livenessOf(state, request);
    if (state.backend.departed)
      return this.isLastResort(state, liveness, request.nowMs) ? 'lapsed' : undefined;
    return liveness === 'alive' && request.isOutlier?.(state) ? 'outlier' : liveness;
  }

  private livenessOf(state: LocalBackendState, { nowMs, slowHandshakeMs }: ClassificationRequest): Liveness {
    const liveness = state.liveness(nowMs);
    if (liveness === 'trial' && !this.isOn('trial-openings')) return 'alive';
    if (liveness !== 'alive' || !this.isOn('slow-answer-avoidance')) return liveness;
    return state.hasSlowHandshake(nowMs, slowHandshakeMs) ? 'suspect' : liveness;
  }

  /**
   * A back end whose record may only have lapsed serves for `LAPSED_RECORD_TTL_MS` after its departure if a packet
   * since then proves that it is alive. A back end that the source has never listed to this daemon needs no such
   * packet, because this daemon has not sent it any traffic so far.
   */
  private isLastResort(
    { backend, lastSignOfLifeMs }: LocalBackendState,
    liveness: Liveness,
    nowMs: number,
  ): boolean {
    const departedAtMs = backend.departedAtMs ?? 0;
    if (nowMs - departedAtMs >= LAPSED_RECORD_TTL_MS || !this.isOn('lapsed-records')) return false;
    return liveness === 'alive' && (backend.isNeverListed === true || lastSignOfLifeMs > departedAtMs);
  }
}
