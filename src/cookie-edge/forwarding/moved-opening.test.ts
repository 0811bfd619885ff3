/**
 * Guards against an open flow that is led to the back end that its SYN was moved away from, because the daemon that
 * moved it has lost its memory: that back end repeats its SYN+ACK, which replaces the caller's cookie.
 */
import test, { type ExecutionContext } from 'ava';
import { VirtualClock } from '../../common/clock.js';
import type { OpeningPeers } from '../opening-lookup/index.js';
import { updateAt } from '../routing/routing-test-support.js';
import { LOOKUP_TIMEOUT_MS, MAX_RECORD_ADVANCE_BYTES } from '../opening-lookup/constants.js';
import { backends, ForwarderHarness } from './cookie-test-support.js';

const LINK_MS = 1;
const PORT = 40_001;
/** Acknowledgement of the handshake at the second back end. */
const ACKNOWLEDGEMENT = 0x2000_0000;
const LATER_MS = 3_000;

/** Daemons that exchange messages on a virtual clock. */
class ForwarderCluster {
  readonly clock = new VirtualClock();
  readonly daemons: ForwarderHarness[] = [];
  /** True if no answer of a peer arrives. */
  areAnswersLost = false;

  constructor(t: ExecutionContext, size: number) {
    for (let index = 0; index < size; index += 1) this.daemons.push(this.startDaemon(index));
    t.teardown(() => this.daemons.forEach((daemon) => daemon.stop()));
  }

  daemon(index: number): ForwarderHarness {
    return this.daemons[index] ?? this.startDaemon(index);
  }

  /** Replaces a daemon by one without memory. */
  kill(index: number): void {
    this.daemon(index).stop();
    this.daemons[index] = this.startDaemon(index);
  }

  /** Stops a daemon as planned, and starts it again. */
  restart(index: number): void {
    this.daemon(index).forwarder.handOver();
    this.clock.advance(2 * LINK_MS);
    this.kill(index);
  }

  private startDaemon(index: number): ForwarderHarness {
    const openingPeers: OpeningPeers = {
      hasPeers: () => this.daemons.length > 1,
      askAboutOpenings: (queries) =>
        this.sendToPeers(index, (peer, name) => {
          const answers = queries.map((query) => peer.forwarder.answerOpeningQuery(query));
          this.clock.schedule(LINK_MS, () => {
            if (this.areAnswersLost) return;
            for (const answer of answers) this.daemon(index).forwarder.applyOpeningAnswer(answer, name);
          });
        }),
      shareHandshakes: (records) => {
        this.sendToPeers(index, (peer) => {
          for (const record of records) peer.forwarder.applyOpeningAnswer(record, String(index));
        });
      },
    };
    return new ForwarderHarness(this.clock, 1, [], { openingPeers }).applyRecords(backends(3));
  }

  private sendToPeers(sender: number, deliver: (peer: ForwarderHarness, name: string) => void): string[] {
    const peers = [...this.daemons.keys()].filter((index) => index !== sender);
    for (const peer of peers) this.clock.schedule(LINK_MS, () => deliver(this.daemon(peer), String(peer)));
    return peers.map(String);
  }
}

function drain(daemon: ForwarderHarness, id: string): void {
  const record = backends(3).find((backend) => backend.id === id)!;
  const origin = { since: 10, confirmedAtMs: daemon.clock.now(), mayHaveLapsed: false };
  const backend = { ...record, revision: 11, draining: true };
  daemon.knowledge.apply('backends', updateAt(11, { backends: [backend] }), origin);
}

interface MovedOpening {
  readonly first: string;
  readonly second: string;
  readonly firstCookie: number;
  readonly secondCookie: number;
}

/** Daemon 0 moves an opening from a back end that begins to drain to another one. */
function moveOpening({ daemons, clock }: ForwarderCluster): MovedOpening {
  const daemon = daemons[0]!;
  const first = daemon.open(PORT)!;
  clock.advance(200);
  drain(daemon, first.backend!);
  const second = daemon.open(PORT, 1)!;
  return {
    first: first.backend!,
    second: second.backend!,
    firstCookie: first.cookie,
    secondCookie: second.cookie,
  };
}

/** Returns the opening cookie of another back end than this one. */
function openingCookieOfAnother(cluster: ForwarderCluster, backend: string | undefined): number {
  for (let port = PORT + 1; ; port += 1) {
    const opened = cluster.daemon(2).open(port)!;
    if (opened.backend !== backend) return opened.cookie;
  }
}

/** The caller completes the handshake with the back end of `cookie`. */
function acknowledge(cluster: ForwarderCluster, cookie: number): void {
  cluster.daemon(0).sendMidFlow(PORT, cookie, { acknowledgement: ACKNOWLEDGEMENT });
  cluster.clock.advance(2 * LINK_MS);
}

/** Returns the back end that receives the flow's next packet, once peers have answered. */
function nextBackend(
  cluster: ForwarderCluster,
  daemon: number,
  cookie: number,
  acknowledgement = ACKNOWLEDGEMENT,
): string | undefined {
  const { sent } = cluster.daemon(daemon);
  const sentBefore = sent.length;
  cluster.daemon(daemon).sendMidFlow(PORT, cookie, { acknowledgement, payloadBytes: 10, sequence: 2 });
  cluster.clock.advance(100);
  return sent[sentBefore]?.backend;
}

for (const loss of ['kill', 'restart'] as const) {
  for (const next of [0, 1]) {
    test(`an opening that was moved stays at the second back end after a ${loss}, daemon ${next} is next`, (t) => {
      const cluster = new ForwarderCluster(t, 3);
      const { first, second, firstCookie, secondCookie } = moveOpening(cluster);
      t.not(first, second);
      acknowledge(cluster, secondCookie);
      cluster.clock.advance(LATER_MS);
      cluster[loss](0);
      t.is(nextBackend(cluster, next, firstCookie), second);
    });

    test(`an opening that was moved in vain stays at the first back end after a ${loss}, daemon ${next} is next`, (t) => {
      const cluster = new ForwarderCluster(t, 3);
      const { first, firstCookie, secondCookie } = moveOpening(cluster);
      acknowledge(cluster, firstCookie);
      cluster.clock.advance(LATER_MS);
      cluster[loss](0);
      t.is(nextBackend(cluster, next, secondCookie), first);
    });
  }
}

test('a flow survives that all daemons are restarted one after the other', (t) => {
  const cluster = new ForwarderCluster(t, 3);
  const { second, firstCookie, secondCookie } = moveOpening(cluster);
  acknowledge(cluster, secondCookie);
  for (const index of [0, 1, 2]) cluster.restart(index);
  t.is(nextBackend(cluster, 0, firstCookie), second);
});

test('packets that wait for peers reach the back end in their order', (t) => {
  const cluster = new ForwarderCluster(t, 3);
  const { second, firstCookie, secondCookie } = moveOpening(cluster);
  acknowledge(cluster, secondCookie);
  cluster.kill(0);
  const daemon = cluster.daemon(0);
  const sequences: number[] = [];
  daemon.onSent(PORT, (backend, _cookie, { sequence }) => {
    t.is(backend, second);
    sequences.push(sequence);
  });
  for (const sequence of [2, 12, 22])
    daemon.sendMidFlow(PORT, firstCookie, { acknowledgement: ACKNOWLEDGEMENT, sequence, payloadBytes: 10 });
  t.deepEqual(sequences, []);
  cluster.clock.advance(100);
  t.deepEqual(sequences, [2, 12, 22]);
});

// Guards against a daemon that does not ask about packets which waited for its start.
test('peers are asked about a packet that waited for the start of its daemon', (t) => {
  const cluster = new ForwarderCluster(t, 3);
  const { second, firstCookie, secondCookie } = moveOpening(cluster);
  acknowledge(cluster, secondCookie);
  cluster.kill(0);
  const daemon = cluster.daemon(0);
  const packet = { sourcePort: PORT, ack: true, cookie: firstCookie, acknowledgement: ACKNOWLEDGEMENT };
  daemon.passToForwarder(packet, 2 * LOOKUP_TIMEOUT_MS);
  cluster.clock.advance(2 * LOOKUP_TIMEOUT_MS);
  t.is(daemon.sent.at(-1)?.backend, second);
});

test('a record does not apply to a later flow with the same addresses', (t) => {
  const cluster = new ForwarderCluster(t, 3);
  const { first, firstCookie, secondCookie } = moveOpening(cluster);
  acknowledge(cluster, secondCookie);
  const acknowledgement = ACKNOWLEDGEMENT + MAX_RECORD_ADVANCE_BYTES + 1;
  t.is(nextBackend(cluster, 1, firstCookie, acknowledgement), first);
});

test('an established cookie takes precedence over a record', (t) => {
  const cluster = new ForwarderCluster(t, 3);
  const { second, secondCookie } = moveOpening(cluster);
  acknowledge(cluster, secondCookie);
  const third = cluster.daemon(1).establish(PORT + 1);
  const established = cluster.daemon(1).sendMidFlow(PORT + 1, third.cookie)!;
  t.is(nextBackend(cluster, 1, established.cookie), third.backend);
  t.truthy(second);
});

test('a packet of an opening cookie is forwarded although no peer answers', (t) => {
  const cluster = new ForwarderCluster(t, 3);
  const opened = cluster.daemon(0).open(PORT)!;
  cluster.areAnswersLost = true;
  t.is(nextBackend(cluster, 1, opened.cookie), opened.backend);
});

test('a flow whose cookie was overruled stays at its back end at other daemons', (t) => {
  const cluster = new ForwarderCluster(t, 3);
  const opened = cluster.daemon(0).open(PORT)!;
  acknowledge(cluster, opened.cookie);
  const other = cluster.daemon(2).open(PORT)!;
  const otherBackend = backends(3).find(({ id }) => id !== opened.backend)!;
  drain(cluster.daemon(2), other.backend!);
  const otherCookie = cluster.daemon(2).open(PORT, 1)!.cookie;
  t.not(otherCookie, opened.cookie, otherBackend.id);
  t.is(nextBackend(cluster, 0, otherCookie), opened.backend);
  cluster.kill(0);
  t.is(nextBackend(cluster, 1, otherCookie), opened.backend);
});

// Guards against a guess of a daemon whose peers do not answer in time, which would replace what they know.
test('a daemon that gets no answer does not replace the records of its peers', (t) => {
  const cluster = new ForwarderCluster(t, 3);
  const { first, second, firstCookie, secondCookie } = moveOpening(cluster);
  acknowledge(cluster, secondCookie);
  cluster.kill(2);
  cluster.areAnswersLost = true;
  t.is(nextBackend(cluster, 2, firstCookie), first, 'nobody told it');
  cluster.areAnswersLost = false;
  cluster.kill(0);
  t.is(nextBackend(cluster, 1, firstCookie), second);
});

test('a flow that was adopted by its opening cookie is shared once its back end has answered', (t) => {
  const cluster = new ForwarderCluster(t, 3);
  const opened = cluster.daemon(0).open(PORT)!;
  cluster.kill(0);
  t.is(nextBackend(cluster, 1, opened.cookie), opened.backend);
  const established = cluster.daemon(1).sent.at(-1)!.cookie;
  t.is(nextBackend(cluster, 1, established), opened.backend);
  cluster.kill(1);
  t.is(nextBackend(cluster, 0, openingCookieOfAnother(cluster, opened.backend)), opened.backend);
});

// Guards against a daemon that placed a retransmission itself, and whose flow opened elsewhere through another daemon.
test('a placement that was in vain does not lead the open flow astray', (t) => {
  const cluster = new ForwarderCluster(t, 3);
  const first = cluster.daemon(0).open(PORT)!;
  cluster.areAnswersLost = true;
  const other = cluster.daemon(1);
  drain(other, first.backend!);
  other.open(PORT, 1);
  cluster.clock.advance(100);
  const second = other.sent.at(-1)!;
  t.not(second.backend, first.backend);
  acknowledge(cluster, first.cookie);
  t.is(nextBackend(cluster, 0, second.cookie), first.backend);
  t.is(nextBackend(cluster, 1, second.cookie), first.backend);
});
