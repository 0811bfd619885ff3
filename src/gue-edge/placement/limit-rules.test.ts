import test from 'ava';
import { judgeLimits, ownOpenings } from './limit-rules.js';

interface Bucket {
  tokens: number;
  available(): boolean;
  take(): boolean;
}

function bucket(tokens: number): Bucket {
  return {
    tokens,
    available() {
      return this.tokens > 0;
    },
    take() {
      if (this.tokens <= 0) return false;
      this.tokens -= 1;
      return true;
    },
  };
}

/**
 * Limit on connections, connections, share, tokens of the service and of the client; expected reason and tokens
 * left.
 */
const OPENINGS = [
  ['no limit', undefined, 9, 1, undefined, undefined, undefined, undefined, undefined],
  ['admitted', 10, 9, 1, 1, 1, undefined, 0, 0],
  ['too many connections', 10, 10, 1, 1, 1, 'service-connections', 1, 1],
  ['too many for this balancer', 10, 4, 1 / 3, 1, 1, 'service-connections', 1, 1],
  ['at least one connection', 10, 0, 0.01, 1, 1, undefined, 0, 0],
  ['service without tokens', 10, 0, 1, 0, 1, 'service-openings', 0, 1],
  ['client without tokens', 10, 0, 1, 1, 0, 'client-openings', 1, 0],
  ['client limit only', undefined, 0, 1, undefined, 0, 'client-openings', undefined, 0],
] as const;
for (const [
  name,
  maxConnections,
  openFlows,
  share,
  ofService,
  ofClient,
  reason,
  serviceLeft,
  clientLeft,
] of OPENINGS) {
  test(`limits: ${name}`, (t) => {
    const service = ofService === undefined ? undefined : bucket(ofService);
    const client = ofClient === undefined ? undefined : bucket(ofClient);
    const serviceTokens = (): Bucket | undefined => service;
    const clientTokens = (): Bucket | undefined => client;
    t.is(judgeLimits({ maxConnections, openFlows, share, serviceTokens, clientTokens }), reason);
    t.is(service?.tokens, serviceLeft);
    t.is(client?.tokens, clientLeft);
  });
}

test('limits: a share of a limit allows at least one opening a second', (t) => {
  t.deepEqual(ownOpenings(100, 0.5), { rate: 50, burst: 50 });
  t.deepEqual(ownOpenings(100, 0.001), { rate: 1, burst: 1 });
});
