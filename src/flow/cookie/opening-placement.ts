/**
 * Chooses the back end of a new flow: the one with the fewest of this balancer's flows for its capacity, those that were just
 * closed included, own zone first within a margin. Equal loads are ordered by a hash of flow and back end, so that balancers that know the same choose
 * equally.
 */
import { combine32 } from '../../common/hash.js';
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { KnownBackend } from '../../routing/index.js';
import type { BackendState, Liveness } from './backend-state.js';
import { COLD_CAPACITY_SHARE, LAPSED_RECORD_MS, MAX_EJECTED_SHARE } from './constants.js';

/** What a choice looks at. */
export interface PlacementQuestion {
  readonly backends: Iterable<KnownBackend>;
  readonly stateOf: (backend: KnownBackend) => BackendState;
  /** Open flows that one back end holds. */
  readonly maxConnections: number;
  /** 32-bit hash of the flow. */
  readonly flowHash: number;
  readonly nowMs: number;
  /** Back ends at which an opening waits longer than this are avoided. */
  readonly usualAnswerMs: number;
}

/** Why a back end was chosen, from the best class to the last resort. */
export type PlacementRule = 'least-flows' | 'trial' | 'suspect' | 'ejected-majority' | 'lapsed-record';

/** A choice with what led to it. */
export interface Placement {
  readonly state: BackendState;
  readonly rule: PlacementRule;
  /** Back ends that were weighed against each other. */
  readonly candidates: number;
}

/** Candidates by liveness; a class is used only when those before it are empty. */
interface CandidateClasses {
  readonly alive: BackendState[];
  readonly suspect: BackendState[];
  readonly ejected: BackendState[];
  readonly lapsed: BackendState[];
  trial: BackendState | undefined;
}

/** See the module. */
export class OpeningPlacement {
  /**
   * @param zone zone of this balancer
   * @param zoneMargin flows that a back end of another zone must have less, for each unit of capacity
   */
  constructor(
    private readonly zone: string,
    private readonly zoneMargin: number,
    private readonly isOn: MechanismCheck = ALL_MECHANISMS_ON,
  ) {}

  /** The back end for a flow; undefined when none may take it. */
  choose(question: PlacementQuestion): Placement | undefined {
    const classes = this.classify(question);
    const { alive, suspect, ejected, lapsed, trial } = classes;
    if (trial && alive.length > 0) return { state: trial, rule: 'trial', candidates: 1 };
    const known = alive.length + suspect.length + ejected.length;
    if (ejected.length > known * MAX_EJECTED_SHARE) {
      return this.least([...alive, ...suspect, ...ejected], 'ejected-majority', question);
    }
    return (
      this.least(alive, 'least-flows', question) ??
      this.least(suspect, 'suspect', question) ??
      this.least(ejected, 'ejected-majority', question) ??
      this.least(lapsed, 'lapsed-record', question)
    );
  }

  private least(
    states: readonly BackendState[],
    rule: PlacementRule,
    question: PlacementQuestion,
  ): Placement | undefined {
    let best: BackendState | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    let bestScore = 0;
    for (const state of states) {
      const load = this.load(state, question.nowMs);
      if (load > bestLoad) continue;
      const score = combine32(question.flowHash, state.idHash);
      if (load === bestLoad && score <= bestScore) continue;
      best = state;
      bestLoad = load;
      bestScore = score;
    }
    return best && { state: best, rule, candidates: states.length };
  }

  /** Flows for each unit of capacity, as they would be with the new one. */
  private load(state: BackendState, nowMs: number): number {
    const { record, coldUntilMs } = state.backend;
    const share = nowMs < coldUntilMs && this.isOn('cold-share') ? COLD_CAPACITY_SHARE : 1;
    const margin = record.zone === this.zone ? 0 : this.zoneMargin;
    const flows = this.isOn('closed-flows') ? state.flowsAt(nowMs) : state.openFlows;
    return (flows + 1) / (Math.max(1, record.capacity) * share) + margin;
  }

  private classify(question: PlacementQuestion): CandidateClasses {
    const classes: CandidateClasses = { alive: [], suspect: [], ejected: [], lapsed: [], trial: undefined };
    for (const backend of question.backends) {
      if (backend.record.draining || (backend.departed && !backend.lapsed)) continue;
      const state = question.stateOf(backend);
      if (state.openFlows >= question.maxConnections) continue;
      const liveness = this.livenessOf(state, question);
      if (backend.departed) this.addLapsed(classes, state, liveness, question.nowMs);
      else if (liveness === 'trial') {
        classes.trial ??= state;
        classes.ejected.push(state);
      } else classes[liveness].push(state);
    }
    return classes;
  }

  private livenessOf(state: BackendState, { nowMs, usualAnswerMs }: PlacementQuestion): Liveness {
    const liveness = state.liveness(nowMs);
    if (liveness === 'trial' && !this.isOn('trial-openings')) return 'alive';
    if (liveness !== 'alive' || !this.isOn('slow-answer-avoidance')) return liveness;
    return state.isSlowToAnswer(nowMs, usualAnswerMs) ? 'suspect' : liveness;
  }

  /** A record that may only have lapsed counts for a while, if packets show that its back end lives. */
  private addLapsed(classes: CandidateClasses, state: BackendState, liveness: Liveness, nowMs: number): void {
    const missedAtMs = state.backend.departedAtMs ?? 0;
    if (nowMs - missedAtMs >= LAPSED_RECORD_MS) return;
    const answeredSince = state.lastProofMs > missedAtMs;
    if (this.isOn('lapsed-records') && liveness === 'alive' && answeredSince) classes.lapsed.push(state);
  }
}
