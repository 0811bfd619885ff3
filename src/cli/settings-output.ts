/** Where the settings commands write, and how they show values and errors. */
import {
  EditConflictError,
  formatFault,
  InvalidTreeError,
  NODE_KIND_FIELD,
  type FieldValue,
  type TreeChange,
} from '../settings/index.js';
import type { SailquayError } from '../common/types.js';
import { ExitCode, exitCodeOf } from './exit-codes.js';

/** Output of a command; tests pass their own. */
export interface CommandOutput {
  /** Writes a line to standard output. */
  write(line: string): void;
  /** Writes a line to standard error. */
  writeError(line: string): void;
  /** Sets the exit code. */
  exit(code: ExitCode): void;
}

/** The process's own output. */
export const PROCESS_OUTPUT: CommandOutput = {
  write: (line) => void process.stdout.write(`${line}\n`),
  writeError: (line) => void process.stderr.write(`${line}\n`),
  exit: (code) => {
    process.exitCode = code;
  },
};

/** A path as people read it. */
export function showPath(path: string): string {
  return path === '' ? 'defaults' : path;
}

/** A value as people read it. */
export function showValue(value: FieldValue | undefined): string {
  if (value === undefined) return 'unset';
  return value === null ? 'unlimited' : String(value);
}

/** One change as a line: `+` added node, `-` removed node, `~` changed field. */
export function showChange(change: TreeChange): string {
  const path = showPath(change.path);
  if (change.field === NODE_KIND_FIELD) {
    return change.after === undefined ? `- ${path} (${change.before})` : `+ ${path} (${change.after})`;
  }
  return `~ ${path}: ${change.field}: ${showValue(change.before)} -> ${showValue(change.after)}`;
}

/** Exit codes of kinds that exit-codes.ts leaves to the commands. */
const SETTINGS_EXIT_CODES: Readonly<Record<string, ExitCode>> = {
  'settings.outcome-unknown': ExitCode.PlatformUnreachable,
  'settings.too-many-races': ExitCode.Conflict,
};

/** Details of an error that scripts can use. */
function errorDetails(error: SailquayError): Record<string, unknown> {
  if (error instanceof InvalidTreeError) return { faults: error.faults };
  if (error instanceof EditConflictError) return { conflicts: error.conflicts };
  return {};
}

/** Writes an error without a stack trace and sets the exit code. */
export function reportError(error: SailquayError, json: boolean, output: CommandOutput): void {
  const { kind, message, remedy } = error;
  if (json) {
    output.write(JSON.stringify({ error: { kind, message, remedy, ...errorDetails(error) } }, undefined, 2));
  } else if (error instanceof InvalidTreeError) {
    error.faults.forEach((fault) => output.writeError(formatFault(fault)));
    output.writeError(
      `sailquay: the tree would have ${error.faults.length} fault(s); nothing was applied [${kind}]`,
    );
  } else {
    output.writeError(`sailquay: ${message} [${kind}]`);
  }
  output.exit(SETTINGS_EXIT_CODES[kind] ?? exitCodeOf(error));
}
