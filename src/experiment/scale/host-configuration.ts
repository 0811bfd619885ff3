/** The file that a host process is started with. */
import { writeFileSync } from 'node:fs';
import type { Endpoint } from '../../common/types.js';
import type { RunDirectory } from '../run-directory.js';

let written = 0;

/** Writes the configuration beside the run's key and returns its path. */
export function writeHostConfiguration(
  directory: RunDirectory,
  content: { readonly seed: number; readonly platformUrl: string; readonly service: Endpoint },
): string {
  written += 1;
  const file = `${directory.keyFile}.host-${written}.json`;
  writeFileSync(file, JSON.stringify({ keyFile: directory.keyFile, ...content }), { mode: 0o600 });
  return file;
}
