/** Edits of the settings tree during a run: made as an operator, their outcomes noted on the timeline. */
import Result from 'true-myth/result';
import { setFields, unsetFields, type FieldValue, type TreeEdit, type TreeError } from '../settings/index.js';
import type { ActionHandlers, ActionOf, ActionTargets } from './action-handlers.js';
import type { ActionRecord } from './action-record.js';
import { MS_PER_SECOND } from './constants.js';
import type { OperatorEdit } from './operator.js';
import type { TreeOperation } from './scenario-actions.js';
import { sleepUntil } from './sleep-until.js';

/** Carries out `tree-edit`, and makes the edits that other actions need. */
export class TreeEdits {
  readonly handlers: Pick<ActionHandlers, 'tree-edit'> = {
    'tree-edit': (action, signal) => this.editRepeatedly(action, signal),
  };

  constructor(
    private readonly targets: Pick<ActionTargets, 'operators'>,
    private readonly record: ActionRecord,
  ) {}

  /** Makes one edit and notes its outcome; never rejects. */
  async edit(operator: string, summary: string, edit: TreeEdit): Promise<OperatorEdit> {
    const made = await this.targets.operators.edit(operator, summary, edit);
    const what = `${made.operator}: ${made.summary}`;
    if (made.outcome === 'accepted') {
      this.record.note(`${what}: ${made.message}, version ${made.version}`);
    } else {
      this.record.note(`${what}: ${made.outcome}: ${made.message}`, made.outcome === 'failed');
    }
    return made;
  }

  private async editRepeatedly(action: ActionOf<'tree-edit'>, signal: AbortSignal): Promise<void> {
    const edits: Promise<OperatorEdit>[] = [];
    for (let round = 0; round < action.repeat && !signal.aborted; round += 1) {
      const operations = action.operations.map((operation) => raised(operation, round));
      const summary = operations.map(describeOperation).join(', ');
      edits.push(this.edit(action.operator, summary, combined(operations)));
      if (round + 1 < action.repeat)
        await sleepUntil(Date.now() + action.everySeconds * MS_PER_SECOND, signal);
    }
    await Promise.all(edits);
  }
}

/** One edit of all operations; their nodes are full paths by now. */
function combined(operations: readonly TreeOperation[]): TreeEdit {
  const edits = operations.map(({ node, field, value }) => {
    return value === undefined
      ? unsetFields(node, [field])
      : setFields(node, { [field]: value as FieldValue });
  });
  return (document) => {
    let result: ReturnType<TreeEdit> = Result.ok<typeof document, TreeError>(document);
    for (const edit of edits) result = result.andThen(edit);
    return result;
  };
}

function raised(operation: TreeOperation, round: number): TreeOperation {
  return typeof operation.value === 'number' ? { ...operation, value: operation.value + round } : operation;
}

function describeOperation({ node, field, value }: TreeOperation): string {
  return value === undefined ? `unset ${node} ${field}` : `${node} ${field}=${String(value)}`;
}
