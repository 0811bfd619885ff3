import test from 'ava';
import fc from 'fast-check';
import { FlowFlag, FlowTable } from './flow-table.js';

const SEED = 20261;

/** Few different home slots, so that probing sequences overlap and wrap around. */
const low = fc.integer({ min: 0, max: 40 }).map((value) => (value * 0x0642_c859) >>> 0);
const key = fc.record({ high: fc.integer({ min: 0, max: 3 }), low });
const step = fc.record({ key, remove: fc.boolean(), value: fc.integer({ min: 0, max: 65_535 }) });

interface Step {
  readonly key: { readonly high: number; readonly low: number };
  readonly remove: boolean;
  readonly value: number;
}

/** Applies one step to both; false when only one of them knows the flow. */
function apply(table: FlowTable, expected: Map<string, number>, { key: flow, remove, value }: Step): boolean {
  const name = `${flow.high}/${flow.low}`;
  const slot = table.find(flow.high, flow.low);
  if (slot >= 0 !== expected.has(name)) return false;
  if (slot >= 0 && remove) table.remove(slot);
  else if (slot >= 0) table.setValue(slot, value, FlowFlag.CLOSED);
  else table.insert(flow.high, flow.low, value, 0, 7);
  if (slot >= 0 && remove) expected.delete(name);
  else expected.set(name, value);
  if (remove) table.compact();
  return true;
}

test('behaves like a map under any insertions and removals', (t) => {
  const property = fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
    const table = new FlowTable();
    const expected = new Map<string, number>();
    for (const taken of steps) if (!apply(table, expected, taken)) return false;
    for (const [name, value] of expected) {
      const [high, low] = name.split('/').map(Number);
      const slot = table.find(high!, low!);
      if (slot < 0 || table.backendIndex(slot) !== value) return false;
    }
    return table.size === expected.size;
  });
  t.notThrows(() => fc.assert(property, { seed: SEED, numRuns: 300 }));
});

test('keeps flags, index and time apart', (t) => {
  const table = new FlowTable();
  const slot = table.insert(0xffff_ffff, 0x8000_0001, 65_535, FlowFlag.PENDING | FlowFlag.UNREPORTED, 123);
  t.is(table.backendIndex(slot), 65_535);
  t.true(table.hasFlag(slot, FlowFlag.PENDING));
  table.setFlags(slot, FlowFlag.ANSWERED);
  table.touch(slot, 0xffff_fff0);
  t.is(table.flags(slot), FlowFlag.ANSWERED);
  t.is(table.backendIndex(slot), 65_535);
  t.is(table.seenSeconds(slot), 0xffff_fff0);
  t.is(table.high(slot), 0xffff_ffff);
  t.is(table.low(slot), 0x8000_0001);
});

test('takes at most 31 bytes a flow once it has grown, and gives memory back', (t) => {
  const table = new FlowTable();
  const flows = 50_000;
  for (let flow = 0; flow < flows; flow += 1) table.insert(flow, Math.imul(flow, 0x9e3779b1) >>> 0, 1, 0, 0);
  t.true(table.bytes / flows <= 31, `${table.bytes / flows} bytes a flow`);
  for (let flow = 0; flow < flows - 10; flow += 1) {
    table.remove(table.find(flow, Math.imul(flow, 0x9e3779b1) >>> 0));
  }
  table.compact();
  t.is(table.size, 10);
  t.true(table.bytes <= 2_048);
  t.true(table.find(flows - 1, Math.imul(flows - 1, 0x9e3779b1) >>> 0) >= 0);
});
