/**
 * Runs the tests with ava and closes with `N passed, N failed` from the totals that ava's own TAP report ends with.
 *
 * Without arguments the tests that are heavy on real sockets, timers and processes run after all others, one file at a
 * time; arguments go to ava as they are, in a single run. Tests listed in KNOWN-RED.txt may fail as listed there
 * (`known-failures.mjs`): they are printed and not counted. A run that ends without its totals (ava's TAP reporter
 * breaks off when a test hangs or ends its process) is counted by its single results and one failure more; so is one
 * with an exit code that its totals do not explain.
 */
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { isKnownFailure, parseKnownFailures } from './known-failures.mjs';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const TEST_ROOTS = ['src', 'platform', 'contract', 'docs', 'tools'];

/** Files that run one at a time, beside no other. */
const SERIAL_FILES = [
  'platform/tools/soak/soak.test.ts',
  'platform/tools/soak/daemon-process.test.ts',
  'platform/tools/soak/retransmitted-openings.test.ts',
  'platform/two-placements.test.ts',
  'platform/whole-path.test.ts',
  'platform/lapsed-entries.test.ts',
  'src/cli/commands.test.ts',
  'src/gue-edge/daemon/whole-path.test.ts',
  'src/experiment/forwarding/forwarding-workers.test.ts',
  'src/experiment/smoke.test.ts',
  'src/gue-edge/membership/udp-membership.test.ts',
  'src/standin/caller/standin-path.test.ts',
];

function readKnownRed() {
  return existsSync(KNOWN_RED_FILE) ? parseKnownFailures(readFileSync(KNOWN_RED_FILE, 'utf8')) : [];
}

/** The arguments of each run of ava. */
function planRuns(argumentList) {
  if (argumentList.length > 0) return [argumentList];
  const files = TEST_ROOTS.flatMap((root) =>
    readdirSync(root, { recursive: true })
      .filter((name) => name.endsWith('.test.ts'))
      .map((name) => join(root, name)),
  );
  const missing = SERIAL_FILES.filter((file) => !files.includes(file));
  if (missing.length > 0) throw new Error(`no such test file: ${missing.join(', ')}`);
  return [files.filter((file) => !SERIAL_FILES.includes(file)), ['--concurrency=1', ...SERIAL_FILES]];
}

/** Counts and prints a failed test, whose report is complete. */
function noteFailure({ title, lines }, totals, knownRed) {
  const isKnown = isKnownFailure(knownRed, title, lines.join('\n'));
  if (isKnown) totals.known += 1;
  totals.printedFailed += 1;
  if (isKnown) console.log(`known red: ${title}`);
  for (const line of lines) console.log(line);
}

/** Reads one TAP report: prints what failed, and returns ava's totals and how many failures are known. */
async function readReport(lines, knownRed) {
  const totals = { pass: undefined, fail: undefined, known: 0, printedOk: 0, printedFailed: 0, last: 'none' };
  /** The failed test whose report is being read. */
  let failure;
  const endFailure = () => {
    if (failure) noteFailure(failure, totals, knownRed);
    failure = undefined;
  };
  for await (const line of lines) {
    const [, title] = /^not ok \d+ - (.*)$/.exec(line) ?? [];
    const [, total, count] = /^# (pass|fail) (\d+)$/.exec(line) ?? [];
    if (failure && /^\s/.test(line)) {
      failure.lines.push(line);
      continue;
    }
    endFailure();
    if (title !== undefined) {
      failure = { title, lines: [line] };
      totals.last = title;
    } else if (/^ok \d+ - /.test(line)) {
      totals.printedOk += 1;
      totals.last = line;
    } else if (total) totals[total] = Number(count);
    else if (/^# \d+ tests? remaining/.test(line)) console.log(line);
  }
  endFailure();
  return totals;
}

async function runAva(argumentList, knownRed) {
  const runner = spawn('npx', ['--no-install', 'ava', '--tap', ...argumentList], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ended = new Promise((resolve) => {
    runner.once('error', () => resolve(-1));
    runner.once('exit', (code) => resolve(code ?? -1));
  });
  const totals = await readReport(createInterface({ input: runner.stdout }), knownRed);
  const exitCode = await ended;
  const complete = totals.pass !== undefined && totals.fail !== undefined;
  if (!complete) {
    console.log(`not ok - ava ended without its totals (exit code ${exitCode}); last result: ${totals.last}`);
  }
  const reported = Math.max(totals.fail ?? 0, totals.printedFailed);
  const unexplained = !complete || (exitCode !== 0 && reported === 0) ? 1 : 0;
  return { passed: totals.pass ?? totals.printedOk, failed: reported - totals.known + unexplained };
}

const knownRed = readKnownRed();
let passed = 0;
let failed = 0;
for (const argumentList of planRuns(process.argv.slice(2))) {
  const result = await runAva(argumentList, knownRed);
  passed += result.passed;
  failed += result.failed;
}
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed > 0 || passed === 0 ? 1 : 0);
