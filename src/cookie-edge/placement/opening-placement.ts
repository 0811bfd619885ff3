/**
 * Chooses the back end of a new flow within one service, by four rules in this order: the class of each candidate
 * (`candidate-classes.ts`), the class to place the flow in (`class-choice.ts`), the load (`backend-load.ts`), the
 * choice among candidates of equal load (`tie-breaking.ts`). Owns no state; does no input or output. The caller carries
 * out and logs the choice.
 */
import { ALL_MECHANISMS_ON } from '../../common/mechanisms.js';
import type { LocalBackendState } from '../backend-health/index.js';
import type { LoadLevels } from '../load/index.js';
import { loadWithNewFlow, type LoadOptions } from './backend-load.js';
import { CandidateClassifier, type ClassificationRequest } from './candidate-classes.js';
import { candidatesForRule, choosePlacementRule, type PlacementRule } from './class-choice.js';
import { findLeastBusyIndex, findLeastLoaded, tiedCandidateLimit } from './tie-breaking.js';

/** Inputs of the choice for one new flow. */
export interface PlacementRequest extends ClassificationRequest {
  /** 32-bit hash of the flow. */
  readonly flowHash: number;
}

/** The chosen back end and the reasons that are logged with it. */
export interface Placement {
  readonly state: LocalBackendState;
  readonly rule: PlacementRule;
  /** Number of back ends that were considered. */
  readonly candidates: number;
  /** Number of candidates of equal load that were passed over because load reports show them as busy. */
  readonly passedOver: number;
}

/** Parameters of the load, and load levels. All mechanisms are on by default. */
interface OpeningPlacementOptions extends Omit<LoadOptions, 'isOn'>, Partial<Pick<LoadOptions, 'isOn'>> {
  /** Load levels from the valid load reports; none by default. */
  readonly loads?: LoadLevels;
}

/** Chooses among the back ends of one service. */
export class OpeningPlacement {
  private readonly loadOptions: LoadOptions;
  private readonly classifier: CandidateClassifier;

  constructor(private readonly options: OpeningPlacementOptions) {
    const { zone, zoneMargin, zoneLoadFactor, isOn = ALL_MECHANISMS_ON } = options;
    this.loadOptions = { zone, zoneMargin, zoneLoadFactor, isOn };
    this.classifier = new CandidateClassifier(isOn);
  }

  /** Chooses the back end for a flow; returns undefined if there is no candidate. */
  chooseBackend(request: PlacementRequest): Placement | undefined {
    const candidates = this.classifier.classify(request);
    const rule = choosePlacementRule(candidates);
    if (rule === undefined) return undefined;
    if (rule === 'trial') {
      return candidates.trial && { state: candidates.trial, rule, candidates: 1, passedOver: 0 };
    }
    return this.chooseAmong(candidatesForRule(rule, candidates), rule, request);
  }

  private chooseAmong(
    states: readonly LocalBackendState[],
    rule: PlacementRule,
    { flowHash, nowMs }: PlacementRequest,
  ): Placement | undefined {
    const { loads } = this.options;
    const maxTied = tiedCandidateLimit(states, loads, nowMs);
    const tied = findLeastLoaded(states, flowHash, maxTied, (state) =>
      loadWithNewFlow(state, nowMs, this.loadOptions),
    );
    const passedOver = findLeastBusyIndex(tied, loads, nowMs);
    const chosen = tied[passedOver];
    return chosen && { state: chosen.state, rule, candidates: states.length, passedOver };
  }
}
