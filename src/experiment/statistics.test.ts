import test from 'ava';
import {
  coefficientOfVariation,
  maxAndMedian,
  meanOverSamples,
  peakToMean,
  percentile,
} from './statistics.js';

test('percentiles interpolate between closest ranks', (t) => {
  const cases: [number[], number, number | null][] = [
    [[], 0.5, null],
    [[7], 0.99, 7],
    [[4, 1, 3, 2], 0.5, 2.5],
    [[10, 20, 30, 40, 50], 0.9, 46],
    [[3, 1, 2], 0, 1],
    [[3, 1, 2], 1, 3],
  ];
  for (const [values, share, expected] of cases) t.is(percentile(values, share), expected);
});

test('imbalance of a sample; empty and all-zero samples have none', (t) => {
  t.is(peakToMean([]), null);
  t.is(peakToMean([0, 0]), null);
  t.is(peakToMean([10, 20, 30]), 1.5);
  t.is(coefficientOfVariation([0, 0]), null);
  t.is(coefficientOfVariation([5, 5, 5]), 0);
  t.is(coefficientOfVariation([8, 12]), 0.2);
});

test('the mean over samples leaves out samples without the figure', (t) => {
  t.is(
    meanOverSamples(
      [
        [1, 1],
        [0, 0],
        [1, 3],
      ],
      peakToMean,
    ),
    1.25,
  );
  t.is(meanOverSamples([[0, 0]], peakToMean), null);
  t.deepEqual(maxAndMedian([]), { max: null, median: null });
  t.deepEqual(maxAndMedian([3, 9, 6]), { max: 9, median: 6 });
});
