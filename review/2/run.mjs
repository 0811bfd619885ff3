/**
 * Another writer puts an entry among the back ends whose bytes cannot be read. A back end then leaves as planned, and
 * gets new flows long after. See claim.txt.
 */
import { performance } from 'node:perf_hooks';
import { BOUNDS } from '../lib/daemons.mjs';
import { HAS_TROUBLE, runCase } from '../lib/case.mjs';
import { CONFIRM } from '../lib/deployment.mjs';
import { SYN } from '../lib/packet.mjs';
import { delay, until } from '../lib/record.mjs';

/** contact_ms of the sheet, with a second to spare. */
const WARM_UP_MS = 5000;
const DEADLINE_MS = 2500;
/** Time from the unreadable entry to the back end's `draining`. */
const BEFORE_DRAIN_MS = 1000;
/** The back end that leaves serves on for this long after its drain_timeout_ms, and then ends. */
const SERVES_ON_MS = 3000;
/** It ends within this time more, while it works on a request if it has one. */
const LONGEST_WAIT_FOR_WORK_MS = 1000;
/** Flows are still opened for this long after its end. */
const AFTER_END_MS = 2000;
const FLOW_INTERVAL_MS = 20;
/** A text with bytes that are neither valid UTF-8 nor allowed in JSON. */
const UNREADABLE = Buffer.from([0x22, 0x01, 0xff, 0xfe, 0x00, 0x22]);

/** Opens a flow for each request, one after the other, until `isOver` returns true. */
async function openFlows(client, isOver, outcomes) {
  while (!isOver()) {
    const flow = client.open(CONFIRM);
    void flow.call('pick-confirm', DEADLINE_MS).then(({ how }) => {
      outcomes[how] = (outcomes[how] ?? 0) + 1;
      if (how === 'answered') flow.end('closed');
    });
    await delay(FLOW_INTERVAL_MS);
  }
}

async function run(deployment) {
  const { record } = deployment;
  await deployment.start({ backendsAZone: { pickguide: [2, 2, 2], labeldruck: [1, 1, 1] } });
  const { store } = deployment;
  const clients = await Promise.all(
    ['halle-nord', 'halle-mitte', 'halle-sued'].map((zone) => deployment.addClient(zone)),
  );
  await delay(WARM_UP_MS);
  const outcomes = {};
  let isOver = false;
  const traffic = clients.map((client) => openFlows(client, () => isOver, outcomes));
  await delay(BEFORE_DRAIN_MS);
  if (HAS_TROUBLE) {
    store.putRaw('servers', 'i-0badc0de', UNREADABLE);
    record.note(`another writer puts an entry that cannot be read, revision ${store.revision}`);
  }
  await delay(BEFORE_DRAIN_MS);
  const leaving = deployment.backends[0];
  const lateMs = [];
  leaving.drain();
  const drainedAtMs = performance.now();
  leaving.onPacket = ({ flags }) => {
    const afterMs = performance.now() - drainedAtMs;
    if (flags === SYN && afterMs > BOUNDS.drain_timeout_ms) lateMs.push(Math.round(afterMs));
  };
  await delay(BOUNDS.drain_timeout_ms + SERVES_ON_MS);
  await until(() => leaving.running > 0, LONGEST_WAIT_FOR_WORK_MS, 'it works on a request').catch(
    () => undefined,
  );
  await leaving.close();
  record.note(
    `${leaving.id} ends as planned; requests that it had begun and never answers: ${leaving.running}`,
  );
  await delay(AFTER_END_MS);
  isOver = true;
  await Promise.all(traffic);
  await delay(DEADLINE_MS);
  record.note(`requests: ${JSON.stringify(outcomes)}`);
  const span = lateMs.length > 0 ? `, ${lateMs[0]} to ${lateMs.at(-1)} ms after` : '';
  record.note(
    `SYNs at ${leaving.id} more than ${BOUNDS.drain_timeout_ms} ms after it drained: ${lateMs.length}${span}`,
  );
  record.note(lateMs.length > 0 ? 'DRAIN is broken' : 'DRAIN held');
  return lateMs.length > 0;
}

await runCase(import.meta.url, run);
