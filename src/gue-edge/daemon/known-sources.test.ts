import test from 'ava';
import { parseTreeText, resolveSettings } from '../../settings/index.js';
import { KnownSources } from './data-plane.js';

function settings(version: number, names: readonly string[]) {
  const backends = names.map(
    (name, index) =>
      `{ ${name}: { zone: a, endpoint: '10.0.0.${index + 1}:80', healthEndpoint: '10.0.0.${index + 1}:81' } }`,
  );
  const merged = `{ ${backends.map((backend) => backend.slice(1, -1)).join(',')} }`;
  const text = `{ sites: { s: { services: { web: { address: '10.9.0.1:80', backends: ${merged} } } } } }`;
  return resolveSettings(parseTreeText(text).unwrapOr({ nodes: [], edits: [] }), version).unwrapOrElse(
    (faults) => {
      throw new Error(JSON.stringify(faults));
    },
  );
}

test('a back end that left the settings tree stays a known source for its open flows', (t) => {
  const sources = new KnownSources('self');
  const [first, second] = [1, 2].map((number) => ({ host: `10.0.0.${number}`, port: 80 }));
  t.false(sources.isBackend(first!));
  sources.setSettings(settings(1, ['one', 'two']));
  t.true(sources.isBackend(first!) && sources.isBackend(second!));
  sources.setSettings(settings(2, ['one']));
  t.true(sources.isBackend(second!));
  t.false(sources.isBackend({ host: '10.0.0.3', port: 80 }));
});
