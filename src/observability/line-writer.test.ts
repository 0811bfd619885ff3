import test from 'ava';
import { VirtualClock } from '../common/clock.js';
import { LineWriter } from './line-writer.js';

/** A stream whose reader takes nothing until it is told to. */
class SlowStream {
  readonly taken: string[] = [];
  writableLength = 0;

  readonly write = (text: string): boolean => {
    this.taken.push(text);
    this.writableLength += text.length;
    return false;
  };
}

test('lines gather and are written together, in order', (t) => {
  const clock = new VirtualClock();
  const stream = new SlowStream();
  const writer = new LineWriter(clock, stream);
  writer.write('one');
  writer.write('two');
  t.deepEqual(stream.taken, []);
  clock.advance(300);
  t.deepEqual(stream.taken, ['one\ntwo\n']);
  writer.write('three');
  writer.flush();
  clock.advance(300);
  t.deepEqual(stream.taken, ['one\ntwo\n', 'three\n']);
});

test('without gathering each line is written at once, so that a killed process loses none', (t) => {
  const stream = new SlowStream();
  const writer = new LineWriter(new VirtualClock(), stream, 0);
  writer.write('one');
  t.deepEqual(stream.taken, ['one\n']);
  for (let count = 0; count < 1_000; count += 1) writer.write('x'.repeat(1_000));
  t.true(stream.writableLength <= 262_144 + 2_000, 'what waits is bounded as well');
  t.true(writer.leftOutCount > 0);
});

test('what a slow reader leaves behind is bounded; lines beyond are counted, and later ones written again', (t) => {
  const clock = new VirtualClock();
  const stream = new SlowStream();
  const writer = new LineWriter(clock, stream);
  const line = 'x'.repeat(1_000);
  for (let count = 0; count < 1_000; count += 1) {
    writer.write(line);
    clock.advance(10);
  }
  t.true(stream.writableLength <= 262_144 + 2_000, String(stream.writableLength));
  t.true(writer.leftOutCount >= 700, String(writer.leftOutCount));
  stream.writableLength = 0;
  const before = stream.taken.length;
  writer.write(line);
  clock.advance(300);
  t.is(stream.taken.length, before + 1);
});

test('many lines are handed over in blocks of whole lines that a pipe takes in one piece', (t) => {
  const clock = new VirtualClock();
  const stream = new SlowStream();
  const writer = new LineWriter(clock, stream);
  const lines = Array.from({ length: 60 }, (_unused, index) => `${index} `.padEnd(300, 'x'));
  lines.push('y'.repeat(6_000), 'last');
  lines.forEach(writer.write);
  clock.advance(300);
  t.is(stream.taken.join(''), `${lines.join('\n')}\n`);
  t.true(stream.taken.every((block) => block.endsWith('\n')));
  const longBlocks = stream.taken.filter(({ length }) => length > 4_096);
  t.deepEqual(
    longBlocks.map(({ length }) => length),
    [6_001],
  );
});
