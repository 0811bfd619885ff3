/**
 * Edits the stored tree: read, change, validate, write if the version is still the same. An idempotency token in the
 * edit's record tells after a lost answer whether the write took effect.
 *
 * Owns the attempts of each edit. Relies on the platform alone for versions, on `edit-rebase.ts` for what an edit
 * makes of a tree that was changed meanwhile, and on `edit-attempts.ts` for what a failed write means.
 */
import Result from 'true-myth/result';
import type { Clock } from '../common/clock.js';
import { jitter, type RandomSource } from '../common/random.js';
import { SILENT_EVENT_LOG, type EventLog } from '../observability/event.js';
import type { StoreError } from '../store/errors.js';
import type { StoreClient } from '../store/types.js';
import * as limits from './constants.js';
import { diffTrees } from './diff.js';
import { giveUpKind, judgeReadBack, mayHaveTakenEffect } from './edit-attempts.js';
import { isRaced, rebaseEdit, type PreparedEdit } from './edit-rebase.js';
import type { TreeEdit } from './edits.js';
import { EditConflictError, InvalidTreeError, TreeError } from './errors.js';
import { SETTINGS_EVENTS } from './events.js';
import { readStoredTree } from './stored-tree.js';
import type { EditRecord, TreeChange, TreeDocument, VersionedTree } from './tree.js';

/** What a `TreeEditor` needs. */
interface TreeEditorOptions {
  readonly platform: StoreClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events?: EventLog;
}

/** Who edits and why. */
export interface EditRequest {
  readonly author: string;
  /** Unique for each edit; repeat it only to repeat the same edit. Recognised for `EDIT_HISTORY_LENGTH` edits. */
  readonly token: string;
  readonly summary: string;
  /** Milliseconds from the call; `DEFAULT_EDIT_DEADLINE_MS` when absent. */
  readonly deadlineMs?: number;
}

/** How an accepted edit came about. */
export interface EditOutcome {
  /** Version of the tree that holds the edit. */
  readonly version: number;
  readonly changes: readonly TreeChange[];
  /** `applied`: written now. `replayed`: its token was already there. `unchanged`: there was nothing to change. */
  readonly outcome: 'applied' | 'replayed' | 'unchanged';
  /** Writes tried. */
  readonly attempts: number;
}

/** One call of `edit`. */
interface EditRun {
  readonly request: EditRequest;
  readonly deadlineAtMs: number;
  attempts: number;
  /** True once a write may have taken effect without our knowing. */
  outcomeOpen: boolean;
}

/** Reads and edits the tree in the platform. Safe to use from several processes at once. */
export class TreeEditor {
  private readonly events: EventLog;

  constructor(private readonly options: TreeEditorOptions) {
    this.events = options.events ?? SILENT_EVENT_LOG;
  }

  /** The stored tree; an empty one with version 0 when nothing is stored. One attempt. */
  async read(): Promise<Result<VersionedTree, TreeError>> {
    const answer = await this.options.platform.get(limits.TREE_OBJECT_KEY);
    return answer.isErr ? Result.err(unavailable(answer.error)) : readStoredTree(answer.value);
  }

  /**
   * Makes an edit. Errors: `settings.invalid` (nothing written), `settings.conflict`, `settings.token-reused`,
   * `settings.platform-unavailable` (nothing written), `settings.outcome-unknown` (repeat with the same token),
   * `settings.too-many-races` and those of the edit itself.
   */
  async edit(edit: TreeEdit, request: EditRequest): Promise<Result<EditOutcome, TreeError>> {
    const deadlineMs = request.deadlineMs ?? limits.DEFAULT_EDIT_DEADLINE_MS;
    const deadlineAtMs = this.options.clock.now() + deadlineMs;
    const run: EditRun = { request, deadlineAtMs, attempts: 0, outcomeOpen: false };
    const first = await this.readWithRetry(run);
    if (first.isErr) return Result.err(first.error);
    const replay = findReplay(first.value, request);
    if (replay) return replay;
    const edited = edit(first.value.document);
    if (edited.isErr) return Result.err(edited.error);
    const changes = diffTrees(first.value.document, edited.value);
    const prepared = { author: request.author, base: first.value.document, changes };
    const result = await this.writeUntilSettled(prepared, first.value, run);
    this.report(result, request);
    return result;
  }

  private async writeUntilSettled(
    prepared: PreparedEdit,
    first: VersionedTree,
    run: EditRun,
  ): Promise<Result<EditOutcome, TreeError>> {
    let current = first;
    for (;;) {
      const next = this.rebase(prepared, current, run);
      if (next.isErr) return Result.err(next.error);
      if (!next.value) return unchanged(current, run);
      run.attempts += 1;
      const written = await this.options.platform.putIfVersion(
        limits.TREE_OBJECT_KEY,
        next.value,
        current.version,
      );
      if (written.isOk) return this.applied(written.value.version, prepared.changes, run);
      this.noteFailure(written.error, run);
      await this.pause(run);
      const read = await this.readWithRetry(run);
      if (read.isErr) return Result.err(read.error);
      const replay = findReplay(read.value, run.request);
      if (replay)
        return replay.map((outcome) => ({ ...outcome, outcome: 'applied', attempts: run.attempts }));
      const verdict = judgeReadBack({
        isTokenFound: false,
        isNewerVersion: read.value.version > current.version,
        isOutcomeOpen: run.outcomeOpen,
        attempts: run.attempts,
        isLate: this.isLate(run),
      });
      run.outcomeOpen = verdict.isOutcomeOpen;
      if (verdict.kind === 'give-up') return Result.err(gaveUp(run, written.error));
      current = read.value;
    }
  }

  /** The document to write; undefined when there is nothing to change. */
  private rebase(
    prepared: PreparedEdit,
    current: VersionedTree,
    run: EditRun,
  ): Result<TreeDocument | undefined, TreeError> {
    const { request } = run;
    const next = rebaseEdit(prepared, current.document);
    if (next.kind === 'conflict') return Result.err(new EditConflictError(next.conflicts));
    if (isRaced(prepared, current.document)) {
      this.events.emit(SETTINGS_EVENTS.editRebased, { author: request.author, version: current.version });
    }
    if (next.kind === 'unchanged') return Result.ok(undefined);
    if (next.kind === 'invalid') return Result.err(new InvalidTreeError(next.faults));
    return Result.ok(this.withRecord(next.target, next.changes, request));
  }

  private withRecord(
    target: TreeDocument,
    changes: readonly TreeChange[],
    request: EditRequest,
  ): TreeDocument {
    const record: EditRecord = {
      token: request.token,
      author: request.author,
      atWallMs: this.options.clock.wall(),
      summary: request.summary,
      changes,
      version: 0,
    };
    return { nodes: target.nodes, edits: [...target.edits, record].slice(-limits.EDIT_HISTORY_LENGTH) };
  }

  private noteFailure(error: StoreError, run: EditRun): void {
    if (!mayHaveTakenEffect(error.kind)) return;
    run.outcomeOpen = true;
    const fields = { token: run.request.token, reason: error.kind };
    this.events.emit(SETTINGS_EVENTS.outcomeReadBack, fields);
  }

  private async readWithRetry(run: EditRun): Promise<Result<VersionedTree, TreeError>> {
    for (let attempt = 0; ; attempt += 1) {
      const answer = await this.options.platform.get(limits.TREE_OBJECT_KEY);
      if (answer.isOk) return readStoredTree(answer.value);
      if (this.isLate(run)) return Result.err(gaveUp(run, answer.error));
      await this.pause(run, attempt);
    }
  }

  private isLate(run: EditRun): boolean {
    return this.options.clock.now() >= run.deadlineAtMs;
  }

  /** Waits with doubling, jittered delay; never past the deadline. */
  private pause(run: EditRun, attempt = run.attempts): Promise<void> {
    const { clock, random } = this.options;
    const doubled = Math.min(
      limits.MAX_RETRY_DELAY_MS,
      limits.FIRST_RETRY_DELAY_MS * 2 ** Math.max(0, attempt - 1),
    );
    const left = Math.max(0, run.deadlineAtMs - clock.now());
    const delayMs = Math.min(left, jitter(doubled, limits.RETRY_JITTER_SHARE, random));
    return new Promise((resolve) => {
      clock.schedule(delayMs, resolve);
    });
  }

  private applied(
    version: number,
    changes: readonly TreeChange[],
    run: EditRun,
  ): Result<EditOutcome, TreeError> {
    return Result.ok({ version, changes, outcome: 'applied', attempts: run.attempts });
  }

  private report(result: Result<EditOutcome, TreeError>, request: EditRequest): void {
    const fields = { author: request.author, token: request.token };
    if (result.isOk && result.value.outcome === 'unchanged') return;
    if (result.isOk) {
      this.events.emit(SETTINGS_EVENTS.editAccepted, { ...fields, version: result.value.version });
    } else if (result.error.kind === 'settings.conflict') {
      this.events.emit(SETTINGS_EVENTS.editConflict, { ...fields, reason: result.error.message });
    } else if (result.error.kind === 'settings.invalid') {
      this.events.emit(SETTINGS_EVENTS.editInvalid, { ...fields, reason: result.error.message });
    }
  }
}

function unchanged(current: VersionedTree, run: EditRun): Result<EditOutcome, TreeError> {
  return Result.ok({ version: current.version, changes: [], outcome: 'unchanged', attempts: run.attempts });
}

/** The outcome of an earlier run with this token; undefined when the token is not in the history. */
function findReplay(tree: VersionedTree, request: EditRequest): Result<EditOutcome, TreeError> | undefined {
  const record = tree.document.edits.find((edit) => edit.token === request.token);
  if (!record) return undefined;
  if (record.author !== request.author || record.summary !== request.summary) {
    const message = `The token ${request.token} belongs to another edit: ${record.author}, ${record.summary}`;
    const remedy = 'Use a new token for a new edit';
    return Result.err(new TreeError('settings.token-reused', message, remedy));
  }
  return Result.ok({ version: record.version, changes: record.changes, outcome: 'replayed', attempts: 0 });
}

function unavailable(error: StoreError): TreeError {
  const message = `The platform did not answer: ${error.problem}`;
  const remedy = 'Check the platform and its URL, then repeat; nothing was written';
  return new TreeError('settings.platform-unavailable', message, remedy, { cause: error });
}

function gaveUp(run: EditRun, error: StoreError): TreeError {
  const kind = giveUpKind(run.outcomeOpen, error.kind);
  if (kind === 'settings.outcome-unknown') {
    const message = `It is not known whether the edit took effect: ${error.problem}`;
    const remedy = `Repeat it with the same token (${run.request.token}); it is applied at most once`;
    return new TreeError(kind, message, remedy, { cause: error });
  }
  if (kind === 'settings.platform-unavailable') return unavailable(error);
  const message = `Other edits came first ${run.attempts} times; nothing was written`;
  return new TreeError(kind, message, 'Repeat the edit', { cause: error });
}
