import test from 'ava';
import { hashString } from '../common/hash.js';
import {
  effectiveNode,
  FIELD_DEFINITIONS,
  moveNode,
  parseTreeText,
  resolveSettings,
  setFields,
  shareNodes,
  unsetFields,
  type EffectiveService,
  type EffectiveSettings,
  type TreeDocument,
  type TreeEdit,
} from './index.js';

const TEXT = `
defaults: {slots: 3, idleTimeoutMs: 5000, limits: {maxConnections: 100}}
sites:
  north:
    zone: z1
    health: {probeIntervalMs: 900}
    services:
      scan:
        address: 10.0.0.1:7000
        unknownFlow: drop
        maxConnections: 50
        limits: {maxConnections: null}
        backends:
          one: {endpoint: "127.0.0.1:1"}
          two: {endpoint: "127.0.0.1:2", zone: z2, slots: 9, weight: 0.5, draining: true, healthEndpoint: "127.0.0.1:3"}
      print:
        address: 10.0.0.2:7000
        parent: north/scan
        backends:
          one: {endpoint: "127.0.0.1:4", parent: north/scan/two}
`;

function tree(text = TEXT): TreeDocument {
  const parsed = parseTreeText(text);
  if (parsed.isErr) throw new Error(JSON.stringify(parsed.error));
  return parsed.value;
}

function resolve(document: TreeDocument, version = 1, previous?: EffectiveSettings): EffectiveSettings {
  const resolved = resolveSettings(document, version, previous);
  if (resolved.isErr) throw new Error(JSON.stringify(resolved.error));
  return resolved.value;
}

function named(settings: EffectiveSettings, name: string): EffectiveService {
  const found = settings.services.find((service) => service.name === name);
  if (!found) throw new Error(`no ${name}`);
  return found;
}

function change(document: TreeDocument, edit: TreeEdit): TreeDocument {
  const changed = edit(document);
  if (changed.isErr) throw changed.error;
  return changed.value;
}

test('values are inherited from above and overridden below', (t) => {
  const scan = named(resolve(tree(), 7), 'north/scan');
  t.like(scan, {
    id: hashString('north/scan'),
    site: 'north',
    address: { host: '10.0.0.1', port: 7000 },
    unknownFlow: 'drop',
    idleTimeoutMs: 5_000,
    zonePreference: 0,
    limits: { maxConnections: undefined, openingsPerSecond: undefined, retryBudgetShare: 0.1 },
    healthPolicy: { probeIntervalMs: 900, unhealthyThreshold: 3 },
  });
  const two = scan.backends.find((backend) => backend.name === 'north/scan/two');
  t.deepEqual(two, {
    name: 'north/scan/two',
    id: hashString('north/scan/two'),
    zone: 'z2',
    endpoint: { host: '127.0.0.1', port: 2 },
    health: { host: '127.0.0.1', port: 3 },
    weight: 0.5,
    maxConnections: 50,
    slots: 9,
    draining: true,
  });
  const one = scan.backends.find((backend) => backend.name === 'north/scan/one');
  t.like(one, { zone: 'z1', slots: 3, weight: 1, draining: false, health: { host: '127.0.0.1', port: 1 } });
});

test('an explicit parent gives its inheritable fields, not its address', (t) => {
  const print = named(resolve(tree()), 'north/print');
  t.like(print, { unknownFlow: 'drop', address: { host: '10.0.0.2', port: 7000 } });
  t.like(print.backends[0], {
    maxConnections: 50,
    slots: 9,
    zone: 'z2',
    health: { host: '127.0.0.1', port: 4 },
  });
});

test('services and back ends are sorted by identifier', (t) => {
  const settings = resolve(tree());
  const lists = [settings.services, ...settings.services.map((service) => service.backends)];
  for (const list of lists) {
    const ids = list.map((item: { id: number }) => item.id);
    t.deepEqual(
      ids,
      [...ids].sort((left, right) => left - right),
    );
  }
});

test('an edit leaves the objects of other services and back ends as they are', (t) => {
  const document = tree();
  const before = resolve(document);
  const edited = change(document, setFields('north/scan/one', { weight: 2 }));
  const reparsed = JSON.parse(JSON.stringify(edited)) as TreeDocument;
  for (const next of [edited, reparsed, shareNodes(reparsed, document)]) {
    const after = resolve(next, 2, before);
    t.is(named(after, 'north/print'), named(before, 'north/print'));
    const [old, now] = [named(before, 'north/scan'), named(after, 'north/scan')];
    t.not(now, old);
    t.deepEqual(
      now.backends.filter((backend) => old.backends.includes(backend)).map(({ name }) => name),
      ['north/scan/two'],
    );
  }
});

test('an inherited change reaches every service below, and undoing it gives the first settings', (t) => {
  const document = tree();
  const before = resolve(document);
  const edited = change(document, setFields('north', { idleTimeoutMs: 6_000 }));
  const after = resolve(edited, 2, before);
  t.deepEqual(
    after.services.map((service) => service.idleTimeoutMs),
    [6_000, 6_000],
  );
  const undone = resolve(change(edited, unsetFields('north', ['idleTimeoutMs'])), 3, after);
  t.deepEqual(undone.services, before.services);
});

test('a faulty tree is not applied', (t) => {
  const faulty = change(tree(), setFields('north/scan/one', { slots: 0, endpoint: '127.0.0.1:2' }));
  const resolved = resolveSettings(faulty, 2, resolve(tree()));
  t.deepEqual(resolved.isErr && resolved.error.map(({ kind }) => kind), [
    'settings.out-of-range',
    'settings.duplicate-address',
  ]);
});

test('a move takes the nodes below along and follows explicit parents', (t) => {
  const moved = change(tree(), moveNode('north/scan', 'north/pick'));
  t.deepEqual(
    resolve(moved)
      .services.map(({ name }) => name)
      .sort(),
    ['north/pick', 'north/print'],
  );
  t.is(moved.nodes.find(({ path }) => path === 'north/print')?.parent, 'north/pick');
  t.is(named(resolve(moved), 'north/pick').backends.length, 2);
});

test('each effective field names the node it comes from', (t) => {
  const node = effectiveNode(tree(), 'north/scan/two');
  const origins = Object.fromEntries((node?.fields ?? []).map(({ field, origin }) => [field, origin]));
  t.like(origins, {
    slots: 'north/scan/two',
    maxConnections: 'north/scan',
    weight: 'north/scan/two',
    zone: 'north/scan/two',
  });
  t.is(effectiveNode(tree(), 'north/scan/one')?.fields.find(({ field }) => field === 'slots')?.origin, '');
  t.is(
    effectiveNode(tree(), 'north/scan/one')?.fields.find(({ field }) => field === 'weight')?.origin,
    'built-in',
  );
  t.is(effectiveNode(tree(), 'north/none'), undefined);
});

test('field names and wire numbers are unique', (t) => {
  t.is(new Set(FIELD_DEFINITIONS.map(({ name }) => name)).size, FIELD_DEFINITIONS.length);
  t.is(new Set(FIELD_DEFINITIONS.map(({ number }) => number)).size, FIELD_DEFINITIONS.length);
});
