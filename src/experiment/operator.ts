/** Operators that edit the tree through `TreeEditor`, and the record of what became of each edit. */
import { randomUUID } from 'node:crypto';
import { SystemClock } from '../common/clock.js';
import { seededRandom } from '../common/random.js';
import { hashString } from '../common/hash.js';
import { SILENT_EVENT_LOG } from '../observability/event.js';
import { createStoreClient, type ConnectedStoreClient } from '../store/index.js';
import type { TreeEdit } from '../settings/index.js';
import { TreeEditor } from '../settings/index.js';
import type { EditRecord } from './document.js';

/** Edits of a run may wait this long for the platform, ms. */
const EDIT_DEADLINE_MS = 20_000;

/** What became of one edit. */
export interface OperatorEdit {
  readonly operator: string;
  readonly summary: string;
  readonly token: string;
  readonly outcome: EditRecord['outcome'];
  /** Wall ms when the editor said that it was accepted. */
  readonly acceptedAtMs: number;
  readonly version: number | null;
  readonly message: string;
}

interface Connection {
  readonly client: ConnectedStoreClient;
  readonly editor: TreeEditor;
}

/** All operators of a run; each has a client of its own, as separate command lines have. */
export class Operators {
  readonly edits: OperatorEdit[] = [];
  private readonly connections = new Map<string, Connection>();

  constructor(
    private readonly platformUrl: string,
    private readonly seed: number,
  ) {}

  /** Makes one edit and records its outcome; never throws. */
  async edit(operator: string, summary: string, edit: TreeEdit): Promise<OperatorEdit> {
    const token = randomUUID();
    const request = { author: operator, token, summary, deadlineMs: EDIT_DEADLINE_MS };
    const result = await this.connection(operator).editor.edit(edit, request);
    const acceptedAtMs = Date.now();
    const base = { operator, summary, token, acceptedAtMs };
    const record: OperatorEdit = result.isOk
      ? { ...base, outcome: 'accepted', version: result.value.version, message: result.value.outcome }
      : {
          ...base,
          outcome: result.error.kind === 'settings.conflict' ? 'conflict' : 'failed',
          version: null,
          message: result.error.message,
        };
    this.edits.push(record);
    return record;
  }

  /** Tokens of the edits that the stored tree's history holds; undefined when it cannot be read. */
  async storedTokens(): Promise<ReadonlySet<string> | undefined> {
    const tree = await this.connection('reader').editor.read();
    return tree.isOk ? new Set(tree.value.document.edits.map((edit) => edit.token)) : undefined;
  }

  async close(): Promise<void> {
    await Promise.all([...this.connections.values()].map((connection) => connection.client.close()));
  }

  private connection(operator: string): Connection {
    const existing = this.connections.get(operator);
    if (existing) return existing;
    const clock = new SystemClock();
    const random = seededRandom(this.seed ^ hashString(operator));
    const client = createStoreClient({
      baseUrl: this.platformUrl,
      clock,
      random,
      events: SILENT_EVENT_LOG,
      caller: `operator-${operator}`,
    });
    const created = { client, editor: new TreeEditor({ platform: client, clock, random }) };
    this.connections.set(operator, created);
    return created;
  }
}
