/** Membership over the real control channel on loopback. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { SystemClock } from '../../common/clock.js';
import { seededRandom } from '../../common/random.js';
import { UdpControlChannel } from '../control/index.js';
import { SwimMembership } from './swim-membership.js';

const SIZE = 3;
const MAX_TURNS = 10_000;
const TURN_MS = 10;

test('three members on UDP find each other, and a planned leave is seen', async (t) => {
  const directory = mkdtempSync(join(tmpdir(), 'sailquay-membership-'));
  t.teardown(() => rmSync(directory, { recursive: true }));
  const keyFile = join(directory, 'keys.json');
  const secret = Buffer.alloc(32, 1).toString('base64');
  writeFileSync(keyFile, JSON.stringify({ active: 1, keys: [{ id: 1, secret }] }));
  const clock = new SystemClock();
  const members: SwimMembership[] = [];
  const seeds: { host: string; port: number }[] = [];
  for (let index = 0; index < SIZE; index += 1) {
    const id = `bal-${index}`;
    const incarnation = Date.now();
    const bind = { host: '127.0.0.1', port: 0 };
    const opened = await UdpControlChannel.open({ bind, memberId: id, incarnation, keyFile, clock });
    if (opened.isErr) throw opened.error;
    const channel = opened.value;
    const identity = { id, zone: `zone-${index}`, control: channel.endpoint, admin: bind, data: bind };
    const random = seededRandom(index);
    const options = { identity, region: 'loopback', incarnation, channel, clock, random, seeds: [...seeds] };
    const membership = new SwimMembership(options);
    seeds.push(channel.endpoint);
    members.push(membership);
    t.teardown(async () => {
      membership.stop();
      await channel.close();
    });
    void membership.join();
    membership.activate();
  }
  const turnUntil = async (done: () => boolean): Promise<boolean> => {
    for (let turn = 0; turn < MAX_TURNS && !done(); turn += 1) {
      await new Promise((resolve) => setTimeout(resolve, TURN_MS));
    }
    return done();
  };
  const everyoneSees = (count: number): boolean =>
    members.every((member) => member.view().members.length === count && member.view().quorate);
  t.true(await turnUntil(() => everyoneSees(SIZE)));
  const leaver = members.pop()!;
  leaver.leave();
  leaver.stop();
  t.true(await turnUntil(() => everyoneSees(SIZE - 1)));
  t.deepEqual(
    members.map((member) => member.statistics().failures),
    [0, 0],
  );
});
