/** What the tests of the platform client share. */
import type { ExecutionContext } from 'ava';
import { SystemClock, type Clock, type VirtualClock } from '../common/clock.js';
import { seededRandom } from '../common/random.js';
import { SILENT_EVENT_LOG } from '../observability/event.js';
import { startPlatformStandin, type PlatformStandin } from '../standin/platform/index.js';
import { createStoreClient, type ConnectedStoreClient, type StoreClientOptions } from './client.js';

const POLL_LIMIT = 20_000;

/** A client with a fixed seed that logs nothing. */
export function connect(baseUrl: string, more: Partial<StoreClientOptions> = {}): ConnectedStoreClient {
  const defaults = {
    clock: new SystemClock(),
    random: seededRandom(1),
    events: SILENT_EVENT_LOG,
    caller: 'member-1',
  };
  return createStoreClient({ baseUrl, ...defaults, ...more });
}

/** Runs a test with a stand-in and a client of it, on `clock` or the process's own, and closes both. */
export async function withStandin(
  run: (standin: PlatformStandin, client: ConnectedStoreClient) => Promise<void>,
  more: Partial<StoreClientOptions> = {},
  clock?: Clock,
): Promise<void> {
  const standin = await startPlatformStandin({ port: 0, heartbeatMs: 20, clock });
  const client = connect(standin.url, { ...more, ...(clock ? { clock } : {}) });
  try {
    await run(standin, client);
  } finally {
    await client.close();
    await standin.close();
  }
}

/** Waits until `condition` holds, for a bounded number of polls. */
export async function eventually(
  t: ExecutionContext,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let poll = 0; poll < POLL_LIMIT; poll += 1) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  t.fail('the condition did not come true');
}

/** Virtual time between two polls; an exchange on loopback takes a few polls, however slow the machine is. */
const STEP_MS = 10;

/** Waits like `eventually` and moves `clock` on with each poll. */
export function eventuallyOn(
  t: ExecutionContext,
  clock: VirtualClock,
  condition: () => boolean,
): Promise<void> {
  return eventually(t, () => {
    clock.advance(STEP_MS);
    return condition();
  });
}

/** Awaits a call whose deadlines and pauses run on `clock`. */
export async function settle<T>(t: ExecutionContext, clock: VirtualClock, call: Promise<T>): Promise<T> {
  let settled = false;
  const result = call.finally(() => (settled = true));
  await eventuallyOn(t, clock, () => settled);
  return result;
}

type Outcome = { readonly isErr: boolean; readonly error?: { readonly kind: string } };

/** Kind of a result's error, or `ok`. */
export function kindOf(outcome: unknown): string {
  const result = outcome as Outcome;
  return result.isErr ? (result.error?.kind ?? '') : 'ok';
}
