import test from 'ava';
import fc from 'fast-check';
import { fitLine, valueAt } from './slopes.js';

test('points on a line give the line, no residual and R² 1', (t) => {
  const coefficient = fc.integer({ min: -1_000, max: 1_000 });
  const property = fc.property(coefficient, coefficient, (intercept, slope) => {
    const fit = fitLine([1, 2, 5, 9].map((x) => ({ x, y: intercept + slope * x })));
    t.true(Math.abs(fit.slope - slope) < 1e-6 && Math.abs(fit.intercept - intercept) < 1e-6);
    t.true(fit.residual < 1e-6);
    t.is(fit.points, 4);
    if (slope !== 0) t.true(Math.abs((fit.rSquared ?? 0) - 1) < 1e-9);
  });
  fc.assert(property, { seed: 4 });
});

test('the error of scattered points is that of a hand calculation', (t) => {
  const fit = fitLine([
    { x: 0, y: 0 },
    { x: 1, y: 2 },
    { x: 2, y: 1 },
    { x: 3, y: 3 },
  ]);
  t.is(fit.slope, 0.8);
  t.true(Math.abs(fit.intercept - 0.3) < 1e-12);
  t.true(Math.abs(fit.residual - Math.sqrt(1.8 / 4)) < 1e-12);
  t.true(Math.abs((fit.rSquared ?? 0) - 0.64) < 1e-12);
  t.true(Math.abs(valueAt(fit, 10) - 8.3) < 1e-12);
});

test('two points tell nothing of the error, equal sizes give no line', (t) => {
  t.is(
    fitLine([
      { x: 0, y: 0 },
      { x: 2, y: 5 },
    ]).rSquared,
    null,
  );
  t.throws(
    () =>
      fitLine([
        { x: 1, y: 0 },
        { x: 1, y: 5 },
      ]),
    { instanceOf: RangeError },
  );
});
