/**
 * Chooses the back end of a new flow: the one with the fewest of this balancer's flows for its capacity, those that were just
 * closed included, own zone first within a margin. Equal loads are ordered by a hash of flow and back end, and those are passed
 * over that get many calls from all balancers together. So balancers that know the same choose equally.
 */
import { combine32 } from '../../common/hash.js';
import { ALL_MECHANISMS_ON, type MechanismCheck } from '../../common/mechanisms.js';
import type { LoadLevels } from '../load/index.js';
import type { KnownBackend } from '../routing/index.js';
import type { Exclusion } from './backend-eligibility.js';
import type { BackendState, Liveness } from '../backend-health/backend-state.js';
import {
  COLD_CAPACITY_SHARE,
  LAPSED_RECORD_MS,
  LOAD_CHOICES,
  LOAD_MAX_OWN_SHARE,
  MAX_EJECTED_SHARE,
} from '../forwarding/constants.js';

/** What a choice looks at. */
export interface PlacementRequest {
  readonly backends: Iterable<KnownBackend>;
  readonly stateOf: (backend: KnownBackend) => BackendState;
  /** Why a back end may not be chosen at all; undefined when it may. */
  readonly exclusionOf: (backend: KnownBackend) => Exclusion | undefined;
  /** True for a back end that answers unusually late; it is chosen only where no other is alive. */
  readonly isOutlier?: (state: BackendState) => boolean;
  /** Open flows that one back end holds. */
  readonly maxConnections: number;
  /** 32-bit hash of the flow. */
  readonly flowHash: number;
  readonly nowMs: number;
  /** Back ends at which an opening waits longer than this are avoided. */
  readonly usualAnswerMs: number;
}

/** Why a back end was chosen, from the best class to the last resort. */
type PlacementRule = 'least-flows' | 'trial' | 'outlier' | 'suspect' | 'ejected-majority' | 'lapsed-record';

/** A choice with what led to it. */
export interface Placement {
  readonly state: BackendState;
  readonly rule: PlacementRule;
  /** Back ends that were weighed against each other. */
  readonly candidates: number;
  /** Equals that were passed over because they get many calls from others. */
  readonly passedOver: number;
}

/** A back end among those of equal load, with its place in the order of this flow; a higher score goes first. */
interface ScoredState {
  readonly state: BackendState;
  readonly score: number;
}

/** What a placement needs. */
interface OpeningPlacementOptions {
  /** Zone of this balancer. */
  readonly zone: string;
  /** Flows that a back end of another zone must have less, for each unit of capacity. */
  readonly zoneMargin: number;
  /** The load of a back end of another zone counts this many times, 1 or more; it bounds how much more the own zone gets. */
  readonly zoneLoadFactor: number;
  readonly loads?: LoadLevels;
  /** Mechanisms that are on; all unless given. */
  readonly isOn?: MechanismCheck;
}

/** Candidates by liveness; a class is used only when those before it are empty. */
interface CandidateClasses {
  readonly alive: BackendState[];
  readonly outlier: BackendState[];
  readonly suspect: BackendState[];
  readonly ejected: BackendState[];
  readonly lapsed: BackendState[];
  trial: BackendState | undefined;
}

/** See the module. */
export class OpeningPlacement {
  private readonly isOn: MechanismCheck;

  constructor(private readonly options: OpeningPlacementOptions) {
    this.isOn = options.isOn ?? ALL_MECHANISMS_ON;
  }

  /** The back end for a flow; undefined when none may take it. */
  choose(question: PlacementRequest): Placement | undefined {
    const classes = this.classify(question);
    const { alive, outlier, suspect, ejected, lapsed, trial } = classes;
    if (trial && alive.length > 0) {
      return { state: trial, rule: 'trial', candidates: 1, passedOver: 0 };
    }
    const known = alive.length + outlier.length + suspect.length + ejected.length;
    if (ejected.length > known * MAX_EJECTED_SHARE) {
      return this.least([...alive, ...outlier, ...suspect, ...ejected], 'ejected-majority', question);
    }
    return (
      this.least(alive, 'least-flows', question) ??
      this.least(outlier, 'outlier', question) ??
      this.least(suspect, 'suspect', question) ??
      this.least(ejected, 'ejected-majority', question) ??
      this.least(lapsed, 'lapsed-record', question)
    );
  }

  private least(
    states: readonly BackendState[],
    rule: PlacementRule,
    question: PlacementRequest,
  ): Placement | undefined {
    const { nowMs, flowHash } = question;
    const count = this.usesReports(states, nowMs) ? LOAD_CHOICES : 1;
    let first: ScoredState[] = [];
    let leastLoad = Number.POSITIVE_INFINITY;
    for (const state of states) {
      const load = this.load(state, nowMs);
      if (load > leastLoad) continue;
      if (load < leastLoad) first = [];
      leastLoad = load;
      insertByScore(first, { state, score: combine32(flowHash, state.idHash) }, count);
    }
    const chosen = this.passOverBusy(first, nowMs);
    return chosen && { ...chosen, rule, candidates: states.length };
  }

  /** True while reports of load say more than the few flows of this balancer. */
  private usesReports(states: readonly BackendState[], nowMs: number): boolean {
    if (!this.options.loads?.isKnown(nowMs)) return false;
    const ownFlows = states.reduce((sum, { openFlows }) => sum + openFlows, 0);
    return ownFlows < states.length * LOAD_MAX_OWN_SHARE;
  }

  /** The first of equals that is not busy; the least busy where all are. */
  private passOverBusy(
    equals: readonly ScoredState[],
    nowMs: number,
  ): Pick<Placement, 'state' | 'passedOver'> | undefined {
    let best: Pick<Placement, 'state' | 'passedOver'> | undefined;
    let bestLevel = Number.POSITIVE_INFINITY;
    for (const [index, { state }] of equals.entries()) {
      const level = this.options.loads?.levelOf(state.idHash, nowMs) ?? 1;
      if (level >= bestLevel) continue;
      best = { state, passedOver: index };
      bestLevel = level;
    }
    return best;
  }

  /** Flows for each unit of capacity, as they would be with the new one. */
  private load(state: BackendState, nowMs: number): number {
    const { record, coldUntilMs } = state.backend;
    const share = nowMs < coldUntilMs && this.isOn('cold-share') ? COLD_CAPACITY_SHARE : 1;
    const flows = this.isOn('closed-flows') ? state.flowsAt(nowMs) : state.openFlows;
    const load = (flows + 1) / (Math.max(1, record.capacity) * share);
    const { zone, zoneMargin, zoneLoadFactor } = this.options;
    return record.zone === zone ? load : load * zoneLoadFactor + zoneMargin;
  }

  private classify(question: PlacementRequest): CandidateClasses {
    const classes: CandidateClasses = {
      alive: [],
      outlier: [],
      suspect: [],
      ejected: [],
      lapsed: [],
      trial: undefined,
    };
    for (const backend of question.backends) {
      if (question.exclusionOf(backend)) continue;
      const state = question.stateOf(backend);
      if (state.openFlows >= question.maxConnections || state.isDead(question.nowMs)) continue;
      const liveness = this.livenessOf(state, question);
      if (backend.departed) this.addLapsed(classes, state, liveness, question.nowMs);
      else if (liveness === 'trial') {
        classes.trial ??= state;
        classes.ejected.push(state);
      } else if (liveness === 'alive' && question.isOutlier?.(state)) classes.outlier.push(state);
      else classes[liveness].push(state);
    }
    return classes;
  }

  private livenessOf(state: BackendState, { nowMs, usualAnswerMs }: PlacementRequest): Liveness {
    const liveness = state.liveness(nowMs);
    if (liveness === 'trial' && !this.isOn('trial-openings')) return 'alive';
    if (liveness !== 'alive' || !this.isOn('slow-answer-avoidance')) return liveness;
    return state.hasSlowHandshake(nowMs, usualAnswerMs) ? 'suspect' : liveness;
  }

  /** A record that may only have lapsed counts for a while, if packets show that its back end lives. */
  private addLapsed(classes: CandidateClasses, state: BackendState, liveness: Liveness, nowMs: number): void {
    const missedAtMs = state.backend.departedAtMs ?? 0;
    if (nowMs - missedAtMs >= LAPSED_RECORD_MS) return;
    const answeredSince = state.lastSignOfLifeMs > missedAtMs;
    if (this.isOn('lapsed-records') && liveness === 'alive' && answeredSince) classes.lapsed.push(state);
  }
}

/** Adds an entry to the `count` highest scores, which stand in descending order. */
function insertByScore(highest: ScoredState[], entry: ScoredState, count: number): void {
  const before = highest.findIndex(({ score }) => score < entry.score);
  if (before < 0 && highest.length >= count) return;
  highest.splice(before < 0 ? highest.length : before, 0, entry);
  highest.length = Math.min(highest.length, count);
}
