/**
 * A scanner opens a long flow while its first back end leaves; the daemon is restarted as planned; the scanner's next
 * request is led to the back end that left, which resets the flow. See claim.txt.
 */
import { HAS_TROUBLE, runCase } from '../lib/case.mjs';
import { CONFIRM } from '../lib/deployment.mjs';
import { decode, SYN, ACK } from '../lib/packet.mjs';
import { delay, until } from '../lib/record.mjs';

/** contact_ms of the sheet, with a second to spare. */
const WARM_UP_MS = 5000;
const DEADLINE_MS = 2500;
/** One datagram is lost: the first SYN+ACK of the flow's first back end. */
const LOST_SYN_ACKS = 1;
/**
 * The SYN+ACK that the first back end sends again and that of the second one arrive at nearly the same time. The flow
 * of a round opens at the second one, or else the next round is played.
 */
const ROUNDS = 7;
/** The scanner rests between its first and its second confirmation. */
const REST_MS = 2500;
/** After its drain_timeout_ms the back end that leaves serves on for some seconds. */
const SERVES_ON_MS = 5000;

/** Loses the first SYN+ACKs of the flow's first back end, and has it leave as soon as it took the SYN. */
function disturbOpening(deployment, flow) {
  let first;
  for (const backend of deployment.backends) {
    let lost = 0;
    backend.onPacket = ({ flags, sport }) => {
      if (flags !== SYN || sport !== flow.sport || first) return;
      first = backend;
      backend.drain();
      setTimeout(() => void backend.close(), 3000 + SERVES_ON_MS);
    };
    backend.isLost = (packet) => {
      const { flags, dport } = decode(packet);
      if (backend !== first || flags !== (SYN | ACK) || dport !== flow.sport) return false;
      lost += 1;
      return lost <= LOST_SYN_ACKS;
    };
  }
}

async function run(deployment) {
  const { record } = deployment;
  await deployment.start({ backendsAZone: { pickguide: [4, 3, 3], labeldruck: [1, 1, 1] } });
  const scanner = await deployment.addClient('halle-nord');
  await delay(WARM_UP_MS);
  const usual = scanner.open(CONFIRM);
  const before = await usual.call('pick-confirm', DEADLINE_MS);
  usual.end('closed');
  if (before.how !== 'answered') throw new Error('no request was answered before the disruption');

  for (let round = 1; round <= ROUNDS; round += 1) {
    const flow = scanner.open(CONFIRM);
    if (HAS_TROUBLE) disturbOpening(deployment, flow);
    const first = await flow.call('pick-confirm', DEADLINE_MS);
    await delay(50);
    const holder = deployment.backends.find(({ ip }) => ip === flow.peer);
    record.note(`round ${round}: ${holder?.id} holds the flow; its first request: ${first.how}`);
    if (first.how !== 'answered') throw new Error('the flow did not open');
    if (holder.state === 'ready') return rest(deployment, flow, holder);
  }
  throw new Error('every flow opened at the back end that leaves');
}

/** The scanner rests; then it sends its second request on the same flow. */
async function rest(deployment, flow, holder) {
  if (HAS_TROUBLE) await restartDaemon(deployment, flow);
  else await delay(REST_MS);
  const second = await flow.call('pick-confirm', DEADLINE_MS);
  await delay(500);
  return judge({ deployment, flow, holder, second });
}

/** Restarts the daemon of the flow as planned; resolves when the routers use another one and the rest is over. */
async function restartDaemon(deployment, flow) {
  const { fleet } = deployment;
  await delay(500);
  const daemon = fleet.pick('halle-nord', flow.key);
  const rested = delay(REST_MS);
  void fleet.restart(daemon);
  await until(() => fleet.pick('halle-nord', flow.key) !== daemon, 5000, 'the routers use another daemon');
  await rested;
}

/** FLOW (a): a reset of another sender than the flow's back end reached the client while that back end lived. */
function judge({ deployment, flow, holder, second }) {
  const { record } = deployment;
  const foreign = flow.resets.filter(({ from, state }) => state === 'open' && from !== holder.ip);
  const isBroken = foreign.length > 0 && holder.isAlive;
  record.note(
    `second request: ${second.how}; resets of others than ${holder.id} on the open flow: ${foreign.length}`,
  );
  record.note(isBroken ? 'FLOW is broken' : 'FLOW held');
  if (!isBroken && second.how !== 'answered')
    throw new Error('the second request failed without a foreign reset');
  return isBroken;
}

await runCase(import.meta.url, run);
