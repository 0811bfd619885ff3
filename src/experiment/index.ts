/**
 * Experiments: scenarios with real processes under load and faults, measured and judged.
 *
 * ```ts
 * const scenario = loadScenario('demo').unwrapOrElse((error) => { throw error; });
 * const document = await runScenario({ scenario, seed: 1, mode: 'bounded-load', signal, progress: console.error });
 * ```
 */
export * from './document.js';
export * from './errors.js';
export { checkScenario, scenarioSchema, type Scenario } from './scenario.js';
export { loadScenario, parseScenario, scenarioNames } from './scenario-files.js';
export { runScenario } from './experiment-run.js';
export { textReport } from './text-report.js';
