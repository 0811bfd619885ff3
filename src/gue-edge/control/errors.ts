/** Error kinds of the control channel. */
import { SailquayError } from '../../common/types.js';

type ControlErrorKind = 'control.key-file' | 'control.bind' | 'control.duplicate-handler';

/** The channel could not be opened or its keys could not be read. */
export class ControlError extends SailquayError {
  constructor(
    readonly kind: ControlErrorKind,
    message: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(message, remedy, options);
  }
}
