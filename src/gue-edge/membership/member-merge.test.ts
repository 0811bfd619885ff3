/** Which report about a member overrules which record: every outcome, and what is stored. */
import test from 'ava';
import { hashString } from '../../common/hash.js';
import {
  decideMerge,
  respondToAccusation,
  type AccusationResponse,
  type MergeOutcome,
} from './member-merge.js';
import { newRecord, type Lifecycle, type MemberIdentity, type MemberRecord } from './member-record.js';
import type { MemberUpdate } from './wire.js';

const ENDPOINT = { host: '10.0.0.1', port: 1 };
const NOW_MS = 7;
const SUSPECTED = { suspected: true, accuserHash: 9 };
const SHORT = { identity: undefined };

function identity(id: string): MemberIdentity {
  return { id, zone: 'a', control: ENDPOINT, admin: ENDPOINT, data: ENDPOINT };
}

/** `version` is `incarnation.refutation`. */
function report(version: string, lifecycle: Lifecycle, more: Partial<MemberUpdate> = {}): MemberUpdate {
  const [incarnation = 0, refutation = 0] = version.split('.').map(Number);
  const base = { idHash: hashString('b'), identity: identity('b'), incarnation, refutation, lifecycle };
  return { ...base, suspected: false, accuserHash: 0, ...more };
}

function known(version: string, lifecycle: Lifecycle, suspected = false): MemberRecord {
  return { ...newRecord(identity('b'), report(version, lifecycle), lifecycle, 0), suspected };
}

/** `incarnation.refutation lifecycle`, with `?` for a suspected member. */
function text(record: MemberRecord | undefined): string {
  if (!record) return '';
  const { incarnation, refutation, lifecycle, suspected } = record;
  return `${incarnation}.${refutation} ${lifecycle}${suspected ? '?' : ''}`;
}

type Case = readonly [string, MemberRecord | undefined, MemberUpdate, MergeOutcome, string];

const ABOUT_OTHERS: readonly Case[] = [
  ['first report', undefined, report('5.0', 'active', SUSPECTED), 'changed', '5.0 active?'],
  ['first report without identity', undefined, report('5.0', 'active', SHORT), 'unknown', ''],
  ['first report of a removed member', undefined, report('5.0', 'failed'), 'known', ''],
  ['the same of a removed one without identity', undefined, report('5.0', 'left', SHORT), 'known', ''],
  [
    'another id of the same hash',
    known('5.0', 'active'),
    report('9.0', 'left', { identity: identity('c') }),
    'collision',
    '',
  ],
  ['later process', known('5.7', 'left'), report('6.0', 'joining'), 'changed', '6.0 joining'],
  ['later process without identity', known('5.0', 'active'), report('6.0', 'joining', SHORT), 'unknown', ''],
  [
    'later process left, without identity',
    known('5.0', 'active'),
    report('6.0', 'left', SHORT),
    'changed',
    '6.0 left',
  ],
  ['earlier process', known('6.0', 'active'), report('5.9', 'failed'), 'known', ''],
  [
    'failure of a live member',
    known('5.0', 'active'),
    report('5.0', 'failed'),
    'reported-failed',
    '5.0 active?',
  ],
  ['failure of a suspect', known('5.0', 'active', true), report('5.0', 'failed'), 'reported-failed', ''],
  [
    'failure of a newer version',
    known('5.0', 'active', true),
    report('5.1', 'failed'),
    'reported-failed',
    '5.1 active?',
  ],
  ['refuted failure', known('5.1', 'active'), report('5.0', 'failed'), 'known', ''],
  ['failure of one that left', known('5.0', 'left'), report('5.0', 'failed'), 'known', ''],
  ['leave of one that failed', known('5.0', 'failed'), report('5.0', 'left'), 'changed', '5.0 left'],
  ['a removed member, same version', known('5.0', 'failed'), report('5.0', 'active'), 'known', ''],
  ['a failed member refutes', known('5.0', 'failed'), report('5.1', 'active'), 'changed', '5.1 active'],
  ['later lifecycle', known('5.0', 'joining'), report('5.0', 'active'), 'changed', '5.0 active'],
  [
    'later lifecycle of a suspect',
    known('5.0', 'joining', true),
    report('5.0', 'active'),
    'changed',
    '5.0 active?',
  ],
  ['earlier lifecycle', known('5.0', 'leaving'), report('5.0', 'active'), 'known', ''],
  ['suspicion', known('5.0', 'active'), report('5.0', 'active', SUSPECTED), 'changed', '5.0 active?'],
  ['the same suspicion', known('5.0', 'active', true), report('5.0', 'active', SUSPECTED), 'known', ''],
  ['no refutation', known('5.0', 'active', true), report('5.0', 'active'), 'known', ''],
  ['refutation', known('5.0', 'active', true), report('5.1', 'active'), 'changed', '5.1 active'],
  ['refuted suspicion', known('5.1', 'active'), report('5.0', 'active', SUSPECTED), 'known', ''],
  ['planned leave', known('5.0', 'active', true), report('5.0', 'left', SHORT), 'changed', '5.0 left'],
];

for (const [name, record, heard, outcome, stored] of ABOUT_OTHERS) {
  test(`another member: ${name}`, (t) => {
    const decision = decideMerge(record, heard, { isSelf: false, nowMs: NOW_MS });
    t.is(decision.outcome, outcome);
    t.is(text(decision.record), stored);
    if (decision.record) t.is(decision.record.changedAtMs, NOW_MS);
    const isLaterProcess = record !== undefined && heard.incarnation > record.incarnation;
    t.is(decision.isNewProcess ?? false, isLaterProcess && outcome === 'changed');
  });
}

const ABOUT_SELF: readonly (readonly [string, MemberRecord, MemberUpdate, MergeOutcome])[] = [
  ['nothing new', known('5.1', 'active'), report('5.1', 'active'), 'known'],
  ['suspicion', known('5.1', 'active'), report('5.1', 'active', SUSPECTED), 'accused'],
  ['failure', known('5.1', 'active'), report('5.1', 'failed'), 'accused'],
  ['refuted suspicion', known('5.1', 'active'), report('5.0', 'active', SUSPECTED), 'outdated-accusation'],
  ['refuted failure', known('5.1', 'active'), report('5.0', 'failed'), 'outdated-accusation'],
  ['newer version', known('5.1', 'active'), report('5.2', 'active'), 'accused'],
  ['later incarnation', known('5.1', 'active'), report('6.0', 'active'), 'accused'],
  ['later incarnation without identity', known('5.1', 'active'), report('6.0', 'active', SHORT), 'unknown'],
  ['after the leave', known('5.1', 'left'), report('5.1', 'failed'), 'known'],
];

for (const [name, record, heard, outcome] of ABOUT_SELF) {
  test(`this member: ${name}`, (t) => {
    t.deepEqual(decideMerge(record, heard, { isSelf: true, nowMs: NOW_MS }), { outcome });
  });
}

const ELSEWHERE = { ...identity('b'), control: { host: '10.0.0.2', port: 1 } };
const OTHER_PORT = { ...identity('b'), control: { host: '10.0.0.1', port: 2 } };

const ACCUSATIONS: readonly (readonly [string, MemberUpdate, AccusationResponse])[] = [
  ['of this process', report('5.1', 'active', SUSPECTED), 'refute'],
  ['of this process elsewhere', report('5.1', 'active', { ...SUSPECTED, identity: ELSEWHERE }), 'refute'],
  ['of a later process here', report('6.0', 'active'), 'refute'],
  ['of a later process, without identity', report('6.0', 'left', SHORT), 'refute'],
  ['of a later process elsewhere', report('6.0', 'active', { identity: ELSEWHERE }), 'give-way'],
  ['of a later process at another port', report('6.0', 'active', { identity: OTHER_PORT }), 'give-way'],
];

for (const [name, accusation, response] of ACCUSATIONS) {
  test(`accusation: ${name}`, (t) => t.is(respondToAccusation(known('5.1', 'active'), accusation), response));
}
