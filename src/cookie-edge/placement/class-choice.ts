/**
 * Rule: the class of candidates in which a new flow is placed.
 *
 * Prevents ejections from causing an outage (panic mode): when more than `MAX_EJECTED_SHARE` of the recorded candidates
 * are ejected, the balancer's own network is the more likely cause, and all recorded candidates get flows again. Does
 * no input or output.
 *
 * Also prevents overload of the first few back ends of a list that is being filled again: while fewer back ends are
 * recorded than may only have lapsed, the alive and the lapsed back ends share the load.
 *
 * Inputs: the candidates by class. Order: the trial opening comes first, but only while another back end is alive, so
 * that the caller's next attempt can succeed there; then panic mode; then a list that is being filled again; then the
 * best class that is not empty. Panic mode also applies if only ejected candidates are left. The panic threshold
 * ignores lapsed records.
 */
import type { LocalBackendState } from '../backend-health/index.js';
import type { Candidates } from './candidate-classes.js';
import { MAX_EJECTED_SHARE } from './constants.js';

/**
 * The rule that selects the candidates for a new flow, in the order of evaluation. `ejected-majority`: panic mode.
 * `unsettled-list`: alive and lapsed back ends have the same priority.
 */
export type PlacementRule =
  'trial' | 'ejected-majority' | 'unsettled-list' | 'least-flows' | 'outlier' | 'suspect' | 'lapsed-record';

/** Returns the rule for a new flow, or undefined if there is no candidate. */
export function choosePlacementRule(candidates: Candidates): PlacementRule | undefined {
  const { alive, outlier, suspect, ejected, lapsed, trial } = candidates;
  if (trial && alive.length > 0) return 'trial';
  const recorded = alive.length + outlier.length + suspect.length + ejected.length;
  if (ejected.length > recorded * MAX_EJECTED_SHARE) return 'ejected-majority';
  if (recorded > 0 && lapsed.length > recorded) return 'unsettled-list';
  if (alive.length > 0) return 'least-flows';
  if (outlier.length > 0) return 'outlier';
  if (suspect.length > 0) return 'suspect';
  return lapsed.length > 0 ? 'lapsed-record' : undefined;
}

/** Returns the candidates that are considered under a rule other than the trial opening. */
export function candidatesForRule(
  rule: Exclude<PlacementRule, 'trial'>,
  { alive, outlier, suspect, ejected, lapsed }: Candidates,
): readonly LocalBackendState[] {
  switch (rule) {
    case 'ejected-majority':
      return [...alive, ...outlier, ...suspect, ...ejected];
    case 'unsettled-list':
      return [...alive, ...lapsed];
    case 'least-flows':
      return alive;
    case 'outlier':
      return outlier;
    case 'suspect':
      return suspect;
    case 'lapsed-record':
      return lapsed;
  }
}
