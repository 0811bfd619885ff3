/**
 * Experiments: scenarios with real processes under load and faults, measured and judged against their goals.
 *
 * Owns the scenario format (`scenarios/*.yaml`), the processes of a run, the samples taken meanwhile and the
 * document that `sailquay experiment run --out` saves. Relies on the stand-ins and the daemon only as processes of
 * their own, started through the command line, and on their control and admin addresses. Nothing of the product
 * relies on this folder; the command line is its only reader.
 */
export { registerExperimentCommand } from './experiment-command.js';
