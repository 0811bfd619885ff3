/**
 * Starts the processes of a run and stops every one of them. A child gets a pipe as standard input and ends by
 * itself when that pipe closes (parent-watch.ts), so that nothing outlives the tool even if the tool is killed.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import type { Writable } from 'node:stream';
import { fileURLToPath } from 'node:url';
import { KEPT_ERROR_LINES, READY_TIMEOUT_MS, STOP_TIMEOUT_MS } from './constants.js';
import { ExperimentError } from './errors.js';

/** Extension of the running code: `.ts` under tsx, `.js` from the build. */
const EXTENSION = import.meta.url.endsWith('.ts') ? '.ts' : '.js';
const ENTRY_FILE = fileURLToPath(new URL(`../cli/main${EXTENSION}`, import.meta.url));
const PARENT_WATCH_URL = new URL(`./parent-watch${EXTENSION}`, import.meta.url).href;

/** The JSON object that a process prints on standard output when it serves. */
export type ReadyLine = Readonly<Record<string, unknown>>;

/** How a process ended. */
interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** One started process. */
export class ManagedProcess {
  /** Resolves when the process has ended, whatever the reason. */
  readonly ended: Promise<ProcessEnd>;
  private readonly errorLines: string[] = [];
  private end: ProcessEnd | undefined;
  private ending = false;

  /** `log` gets the ready line and standard error as it comes. */
  constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    private readonly log?: Writable,
  ) {
    if (log) child.stderr?.pipe(log);
    this.ended = new Promise((resolve) => {
      const finish = (end: ProcessEnd): void => {
        this.end ??= end;
        resolve(this.end);
      };
      child.once('exit', (code, signal) => finish({ code, signal }));
      child.once('error', () => finish({ code: null, signal: null }));
    });
    child.stdin?.on('error', () => undefined);
    createInterface({ input: child.stderr! }).on('line', (line) => this.keepErrorLine(line));
  }

  get pid(): number | undefined {
    return this.child.pid;
  }

  get running(): boolean {
    return this.end === undefined;
  }

  /** Last lines of standard error, for the report of a failure. */
  get recentErrors(): string {
    return this.errorLines.join('\n');
  }

  /** Waits for the JSON ready line on standard output; the rest of the output is read and dropped. */
  async ready(timeoutMs = READY_TIMEOUT_MS): Promise<ReadyLine> {
    const lines = createInterface({ input: this.child.stdout! });
    const firstLine = new Promise<ReadyLine>((resolve) => {
      lines.on('line', (line) => {
        const parsed = parseReadyLine(line);
        if (parsed) resolve(parsed);
      });
    });
    let timer: NodeJS.Timeout | undefined;
    const failure = new Promise<never>((_resolve, reject) => {
      timer = setTimeout(() => reject(this.startFailure(`was not ready within ${timeoutMs} ms`)), timeoutMs);
      void this.ended.then((end) => reject(this.startFailure(`ended at once (${describeEnd(end)})`)));
    });
    try {
      const line = await Promise.race([firstLine, failure]);
      this.log?.write(`${JSON.stringify(line)}\n`);
      return line;
    } finally {
      clearTimeout(timer);
    }
  }

  /** True once the process was sent SIGTERM or SIGKILL. */
  get askedToEnd(): boolean {
    return this.ending;
  }

  /** Sends a signal; no effect once the process has ended. */
  signal(signal: NodeJS.Signals): void {
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.ending = true;
    if (this.running) this.child.kill(signal);
  }

  /** Asks the process to end and kills it when it has not ended in time. */
  async stop(timeoutMs = STOP_TIMEOUT_MS): Promise<ProcessEnd> {
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), timeoutMs);
    const end = await this.ended;
    clearTimeout(timer);
    return end;
  }

  private startFailure(what: string): ExperimentError {
    return new ExperimentError(
      'experiment.process-failed',
      `${this.name} ${what}: ${this.recentErrors || 'no error output'}`,
      'Run the same command by hand to see its output',
    );
  }

  private keepErrorLine(line: string): void {
    this.errorLines.push(line);
    if (this.errorLines.length > KEPT_ERROR_LINES) this.errorLines.shift();
  }
}

/** Starts processes of this program and remembers them until they are stopped. */
export class ProcessLauncher {
  private readonly processes = new Set<ManagedProcess>();
  private closed = false;
  /** Processes that ended without being asked to, with their last error output. */
  readonly unexpectedEnds: string[] = [];

  /** With a directory, the standard error of each process is written to NAME.log in it. */
  constructor(private readonly logDirectory?: string) {}

  /** Starts `sailquay ARGUMENTS` as a process of its own. */
  start(name: string, argumentList: readonly string[]): ManagedProcess {
    if (this.closed) {
      const remedy = 'Start the run again';
      throw new ExperimentError(
        'experiment.interrupted',
        `${name} was not started: the run has ended`,
        remedy,
      );
    }
    const nodeArguments = [...process.execArgv, '--import', PARENT_WATCH_URL];
    const child = spawn(process.execPath, [...nodeArguments, ENTRY_FILE, ...argumentList], {
      stdio: ['pipe', 'pipe', 'pipe'],
    });
    const log = this.logDirectory ? createWriteStream(join(this.logDirectory, `${name}.log`)) : undefined;
    const managed = new ManagedProcess(name, child, log);
    this.processes.add(managed);
    void managed.ended.then((end) => this.noteEnd(managed, end));
    return managed;
  }

  /** Stops every process that still runs; none can be started after this. */
  async stopAll(): Promise<void> {
    this.closed = true;
    await Promise.all([...this.processes].map((managed) => managed.stop()));
  }

  /** Kills every process that still runs, at once. */
  killAll(): void {
    for (const managed of this.processes) managed.signal('SIGKILL');
  }

  private noteEnd(managed: ManagedProcess, end: ProcessEnd): void {
    this.processes.delete(managed);
    if (managed.askedToEnd) return;
    this.unexpectedEnds.push(
      `${managed.name} ended by itself (${describeEnd(end)}): ${managed.recentErrors}`,
    );
  }
}

function parseReadyLine(line: string): ReadyLine | undefined {
  if (!line.startsWith('{')) return undefined;
  try {
    const parsed = JSON.parse(line) as ReadyLine;
    return parsed.ready === true ? parsed : undefined;
  } catch {
    // A line of the log that begins with a brace, or one that is not whole yet.
    return undefined;
  }
}

function describeEnd(end: ProcessEnd): string {
  return end.signal ?? `exit code ${end.code ?? 'unknown'}`;
}
