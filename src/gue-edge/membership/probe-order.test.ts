import test from 'ava';
import { probeShift } from './probe-order.js';

test('in each round every member is probed once, and in n - 1 rounds everyone by everyone', (t) => {
  for (const members of [2, 3, 4, 7, 12, 100]) {
    const pairs = new Set<string>();
    for (let round = 1_000_000; round < 1_000_000 + members - 1; round += 1) {
      const shift = probeShift(round, members);
      const targets = new Set<number>();
      for (let rank = 0; rank < members; rank += 1) {
        const target = (rank + shift) % members;
        targets.add(target);
        pairs.add(`${rank} ${target}`);
      }
      t.is(targets.size, members);
    }
    t.is(pairs.size, members * (members - 1), `${members}`);
    t.false(
      [...pairs].some((pair) => pair.split(' ')[0] === pair.split(' ')[1]),
      'nobody probes itself',
    );
  }
});
