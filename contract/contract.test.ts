/**
 * Compares what others rely on with its recorded form: bytes on the wire, stored trees, settings, configuration files,
 * events, metrics, command line, scenarios and the deploy file. A difference means that a running fleet, a stored tree, a
 * dashboard or an operator's script meets something new. The surfaces run one after the other, since some replace a method
 * of a library while they record what is given to it.
 */
import { readdirSync, readFileSync } from 'node:fs';
import test from 'ava';
import { SURFACES } from './surfaces/index.js';

const RECORDED_DIRECTORY = new URL('recorded/', import.meta.url);

function readRecorded(name: string): unknown {
  return JSON.parse(readFileSync(new URL(`${name}.json`, RECORDED_DIRECTORY), 'utf8'));
}

test('each recorded surface is computed, and each computed one is recorded', (t) => {
  const recorded = readdirSync(RECORDED_DIRECTORY).map((file) => file.replace(/\.json$/, ''));
  t.deepEqual(recorded.sort(), Object.keys(SURFACES).sort());
});

for (const [name, compute] of Object.entries(SURFACES)) {
  test.serial(`${name} is as recorded`, async (t) => {
    const computed: unknown = JSON.parse(JSON.stringify(await compute()));
    t.deepEqual(computed, readRecorded(name));
  });
}
