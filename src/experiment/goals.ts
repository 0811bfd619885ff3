/** Judges a run's figures against the scenario's goals and those that always hold. */
import type { ExperimentDocument, GoalResult } from './document.js';
import type { GoalSettings } from './scenario.js';

/** Goals of every scenario: what must never happen. */
const STANDING_GOALS: readonly GoalSettings[] = [
  { figure: 'flows.brokenByPlannedChange', max: 0 },
  { figure: 'flows.misdelivered', max: 0 },
  { figure: 'requests.foreignOrPartialAnswers', max: 0 },
  { figure: 'requests.refusedButRun', max: 0 },
  { figure: 'requests.unrepeatableRunTwice', max: 0 },
  { figure: 'config.reverts', max: 0 },
];

/** The figure at a dotted path: a number, or the worst (largest) number of a per-service table; else null. */
export function figureAt(document: object, path: string): number | null {
  let value: unknown = document;
  for (const part of path.split('.')) {
    if (typeof value !== 'object' || value === null) return null;
    value = (value as Record<string, unknown>)[part];
  }
  if (typeof value === 'number') return value;
  if (typeof value !== 'object' || value === null) return null;
  const numbers = Object.values(value).filter((entry): entry is number => typeof entry === 'number');
  return numbers.length === 0 ? null : Math.max(...numbers);
}

/** Judges one goal. */
export function judge(document: object, goal: GoalSettings): GoalResult {
  const measured = figureAt(document, goal.figure);
  const bounds = [
    goal.min === undefined ? '' : `>= ${goal.min}`,
    goal.max === undefined ? '' : `<= ${goal.max}`,
  ];
  const text = bounds.filter(Boolean).join(' and ');
  if (measured === null) return { figure: goal.figure, goal: text, measured, verdict: 'not-measured' };
  const met = measured <= (goal.max ?? Infinity) && measured >= (goal.min ?? -Infinity);
  return { figure: goal.figure, goal: text, measured, verdict: met ? 'pass' : 'fail' };
}

/** Judges the standing goals and the scenario's own; a goal of the scenario replaces a standing one. */
export function judgeAll(
  document: Omit<ExperimentDocument, 'goals'>,
  goals: readonly GoalSettings[],
): readonly GoalResult[] {
  const own = new Set(goals.map((goal) => goal.figure));
  const standing = STANDING_GOALS.filter((goal) => !own.has(goal.figure));
  return [...standing, ...goals].map((goal) => judge(document, goal));
}
