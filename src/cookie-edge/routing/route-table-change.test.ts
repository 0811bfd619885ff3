import test from 'ava';
import fc from 'fast-check';
import { applyTableChange, diffTables, mergeTableChanges } from './route-table-change.js';
import { tableAt } from './routing-test-support.js';
import type { Route, RouteTable } from './types.js';

const routeArbitrary = fc
  .record({
    name: fc.constantFrom('a', 'b', 'c', 'd'),
    port: fc.integer({ min: 1, max: 3 }),
    service: fc.constantFrom('alpha', 'beta'),
    weight: fc.integer({ min: 1, max: 2 }),
  })
  .map(({ name, port, service, weight }): Route => {
    return { name, address: 0xc6120001, port, targets: [{ service, weight }] };
  });
const routesArbitrary = fc.uniqueArray(routeArbitrary, { selector: ({ name }) => name, maxLength: 4 });
const tableSequenceArbitrary = fc
  .array(routesArbitrary, { minLength: 2, maxLength: 6 })
  .map((versions) => versions.map((content, index) => tableAt(10 * (index + 1), { routes: content })));

function withSortedRoutes(table: RouteTable | undefined): RouteTable | undefined {
  if (!table) return undefined;
  return { ...table, routes: [...table.routes].sort((left, right) => (left.name < right.name ? -1 : 1)) };
}

test('merged changes turn each table of the sequence into the last one', (t) => {
  fc.assert(
    fc.property(tableSequenceArbitrary, (tables) => {
      const last = tables.at(-1)!;
      const mergedChange = tables
        .slice(1)
        .map((table, index) => diffTables(tables[index]!, table))
        .reduce(mergeTableChanges);
      for (const table of tables)
        t.deepEqual(withSortedRoutes(applyTableChange(table, mergedChange)), withSortedRoutes(last));
    }),
    { seed: 20_261_202, numRuns: 300 },
  );
});

test('a change is applied only to the tables that it starts from', (t) => {
  const change = diffTables(tableAt(5), tableAt(7, { routes: [] }));
  t.is(applyTableChange(tableAt(4), change), undefined);
  t.is(applyTableChange(tableAt(6), change), undefined, 'a comparison of 5 and 7 does not cover 6');
  t.deepEqual(applyTableChange(tableAt(5), change)?.routes, []);
});

test('a change is not applied to an intermediate table with a route that was changed back later', (t) => {
  const baseTable = tableAt(2);
  const splitRoutes = [
    { ...baseTable.routes[0]!, targets: [...baseTable.routes[0]!.targets, { service: 'beta', weight: 1 }] },
  ];
  const change = diffTables(baseTable, tableAt(111));
  t.is(applyTableChange(tableAt(108, { routes: splitRoutes }), change), undefined);
});

test('a change whose result does not match its digest is not applied', (t) => {
  const baseTable = tableAt(2);
  const otherRoutes = [{ ...baseTable.routes[0]!, name: 'unknown-to-the-change', port: 1 }];
  const change = diffTables(baseTable, tableAt(7));
  t.is(applyTableChange(tableAt(2, { routes: [...baseTable.routes, ...otherRoutes] }), change), undefined);
});

// Guards against a table that is wrong only in what the digest of addresses and targets does not cover.
test('a change is not applied if the result differs in a priority or a target latency only', (t) => {
  const baseTable = tableAt(2);
  const [route] = baseTable.routes;
  const added = { ...route!, name: 'added', port: 1 };
  const change = diffTables(baseTable, tableAt(7, { routes: [route!, added] }));
  for (const difference of [{ priority: 3 }, { targetLatencyMs: 250 }]) {
    const otherTable = tableAt(2, { routes: [{ ...route!, ...difference }] });
    t.is(applyTableChange(otherTable, change), undefined);
  }
  t.is(applyTableChange(baseTable, change)?.routes.length, 2);
  const { requirementDigest: _requirementDigest, ...olderChange } = change;
  t.is(applyTableChange(baseTable, olderChange)?.routes.length, 2, 'a sender of an earlier version');
});

test('a change contains only the routes that differ', (t) => {
  const routesBefore = Array.from({ length: 1_500 }, (_, index): Route => {
    return { name: `r-${index}`, address: index, port: 80, targets: [{ service: 'alpha', weight: 1 }] };
  });
  const changedRoute = { ...routesBefore[7]!, targets: [{ service: 'beta', weight: 1 }] };
  const routesAfter = [...routesBefore.slice(0, 7), changedRoute, ...routesBefore.slice(8, -1)];
  const change = diffTables(tableAt(5, { routes: routesBefore }), tableAt(7, { routes: routesAfter }));
  t.deepEqual(change.routes, [changedRoute]);
  t.deepEqual(change.removedRoutes, ['r-1499']);
});
