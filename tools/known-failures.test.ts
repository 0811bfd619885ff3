/** Guards against an entry of KNOWN-RED.txt that hides another failure than the listed one. */
import test from 'ava';
import { isKnownFailure, parseKnownFailures } from './known-failures.mjs';

const LINES = [
  '# a comment',
  'a flow stays; npm test, seed 1; failed once: "packets at i-09" (traced); issue 2',
  '',
  'a soak; npm run soak -- --seed 7; seen without a text; issue 2',
  'a mix; MIX=\'{"name":"x"}\' npx ava; every run: "a base fell"; issue 2',
].join('\n');

const ENTRIES = parseKnownFailures(LINES);

test('an entry has the title of its test and the first quoted text after its command as its failure', (t) => {
  t.deepEqual(ENTRIES, [
    { title: 'a flow stays', failure: 'packets at i-09' },
    { title: 'a soak', failure: undefined },
    { title: 'a mix', failure: 'a base fell' },
  ]);
});

const CASES: readonly (readonly [string, string, string, boolean])[] = [
  ['the listed failure', 'a flow stays', 'message: packets at i-09', true],
  ['the listed failure in a file', 'soak › soak › a flow stays', 'packets at i-09', true],
  ['another failure of a listed test', 'a flow stays', 'message: Timeout', false],
  ['the listed failure in another test', 'a flow stays open', 'packets at i-09', false],
  ['a failure of an entry without a text', 'a soak', 'seen without a text', false],
];

for (const [name, title, report, expected] of CASES) {
  test(`${name} ${expected ? 'is' : 'is not'} known`, (t) => {
    t.is(isKnownFailure(ENTRIES, title, report), expected);
  });
}

test('more than three entries are allowed', (t) => {
  const text = Array.from({ length: 5 }, (_unused, index) => `test ${index}; npm test; "text"; issue 2`).join(
    '\n',
  );
  t.is(parseKnownFailures(text).length, 5);
});
