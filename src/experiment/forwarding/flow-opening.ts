/** Opens the flows of the experiment and finds out which balancer keeps each. */
import { formatEndpoint, type Endpoint } from '../../common/types.js';
import { ExperimentError } from '../errors.js';
import { FIRST_CALLER_ADDRESS, FLOWS, OPEN_ATTEMPTS, OPEN_INTERVAL_MS } from './constants.js';
import type { FlowAddress, OpenedFlow } from './types.js';
import type { Worker } from './worker-channel.js';

/** Flows of one caller address. FLOWS then come from 16 addresses. */
const FLOWS_PER_ADDRESS = 64;
/** First caller port; any unreserved one would do. */
const FIRST_PORT = 2_048;

function flowAddresses(): FlowAddress[] {
  return Array.from({ length: FLOWS }, (_, index) => ({
    address: FIRST_CALLER_ADDRESS + Math.floor(index / FLOWS_PER_ADDRESS),
    port: FIRST_PORT + index,
  }));
}

async function openedFlows(sinks: readonly Worker[]): Promise<OpenedFlow[]> {
  const lists = await Promise.all(sinks.map((sink) => sink.ask('opened', null)));
  return lists.flat();
}

/** Sends SYNs through `entry` until every flow is open; the flows by the data address of their keeper. */
export async function openFlows(
  sender: Worker,
  sinks: readonly Worker[],
  entry: Endpoint,
): Promise<Map<string, readonly FlowAddress[]>> {
  let missing = flowAddresses();
  for (let attempt = 0; attempt < OPEN_ATTEMPTS && missing.length > 0; attempt += 1) {
    await sender.ask('open', { target: entry, flows: missing });
    await new Promise((resolve) => setTimeout(resolve, OPEN_INTERVAL_MS));
    const opened = new Set((await openedFlows(sinks)).map(({ address, port }) => `${address}:${port}`));
    missing = flowAddresses().filter(({ address, port }) => !opened.has(`${address}:${port}`));
  }
  if (missing.length > 0) {
    throw new ExperimentError(
      'experiment.not-ready',
      `${missing.length} of ${FLOWS} flows did not open`,
      'Look at the status page of the balancers',
    );
  }
  const byKeeper = new Map<string, FlowAddress[]>();
  for (const flow of await openedFlows(sinks)) {
    const keeper = formatEndpoint(flow.keeper);
    byKeeper.set(keeper, [...(byKeeper.get(keeper) ?? []), flow]);
  }
  return byKeeper;
}
