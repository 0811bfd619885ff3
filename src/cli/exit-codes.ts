/** Exit codes of every command; scripts may rely on them. */
import { SailquayError } from '../common/types.js';

/** Meaning of an exit code. */
export enum ExitCode {
  Ok = 0,
  /** The command ran and failed. */
  Failure = 1,
  /** Unknown command, flag or argument. */
  Usage = 2,
  /** A configuration or settings tree has faults; nothing was applied. */
  InvalidSettings = 3,
  /** Another operator's edit came first. */
  Conflict = 4,
  /** The platform or an admin address did not answer. */
  PlatformUnreachable = 5,
  /** No such node, back end or scenario. */
  NotFound = 6,
}

/** Help text that lists the codes. */
export const EXIT_CODES_HELP = `
Exit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid settings, 4 conflict with another edit,
  5 platform or daemon unreachable, 6 not found
`;

const CODES_BY_KIND: Readonly<Record<string, ExitCode>> = {
  'daemon.config-invalid': ExitCode.InvalidSettings,
  'daemon.config-unreadable': ExitCode.InvalidSettings,
  'settings.invalid': ExitCode.InvalidSettings,
  'settings.conflict': ExitCode.Conflict,
  'settings.node-not-found': ExitCode.NotFound,
  'settings.platform-unavailable': ExitCode.PlatformUnreachable,
  'platform.unreachable': ExitCode.PlatformUnreachable,
  'platform.deadline': ExitCode.PlatformUnreachable,
  'cli.fleet-unreachable': ExitCode.PlatformUnreachable,
  'cli.no-fleet': ExitCode.Usage,
  'platform.version-conflict': ExitCode.Conflict,
};

/** Exit code of an error that ended a command. */
export function exitCodeOf(error: unknown): ExitCode {
  if (!(error instanceof SailquayError)) return ExitCode.Failure;
  return CODES_BY_KIND[error.kind] ?? ExitCode.Failure;
}
