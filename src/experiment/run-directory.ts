/** Temporary directory of one run: cluster key, daemon configurations, seed tree. */
import { randomBytes } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'yaml';

const SECRET_BYTES = 32;

export class RunDirectory {
  private readonly path = mkdtempSync(join(tmpdir(), 'sailquay-experiment-'));
  readonly keyFile: string;

  constructor() {
    const secret = randomBytes(SECRET_BYTES).toString('base64');
    this.keyFile = this.write('cluster-key.json', JSON.stringify({ active: 1, keys: [{ id: 1, secret }] }));
  }

  /** Writes a YAML file readable by this user alone and returns its path. */
  writeYaml(name: string, value: unknown): string {
    return this.write(name, stringify(value));
  }

  remove(): void {
    rmSync(this.path, { recursive: true, force: true });
  }

  private write(name: string, text: string): string {
    const file = join(this.path, name);
    writeFileSync(file, text, { mode: 0o600 });
    return file;
  }
}
