/** Error kinds of the experiment tool. */
import { SailquayError } from '../common/types.js';

type ExperimentErrorKind =
  | 'experiment.unknown-scenario'
  | 'experiment.invalid-scenario'
  | 'experiment.process-failed'
  | 'experiment.not-ready'
  | 'experiment.bad-answer'
  | 'experiment.no-answer'
  | 'experiment.invalid-document'
  | 'experiment.time-limit'
  | 'experiment.interrupted';

/** An experiment that could not be read, started or finished. */
export class ExperimentError extends SailquayError {
  constructor(
    readonly kind: ExperimentErrorKind,
    message: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(message, remedy, options);
  }
}
