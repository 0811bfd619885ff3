/** A stand-in for a back end: takes flows over UDP, runs their requests, and serves its health page over TCP. */
import { randomInt } from 'node:crypto';
import { createSocket } from 'node:dgram';
import { createServer } from 'node:http';
import { clearInterval, clearTimeout, setInterval } from 'node:timers';
import {
  ACK,
  decode,
  describeFlags,
  difference,
  encode,
  FIN,
  MAX_DATA_BYTES,
  RST,
  SYN,
  toAddress,
} from './packet.mjs';

const PREFIX_BYTES = 8;
const FIRST_RETRANSMISSION_MS = 200;
const MAX_RETRANSMISSION_MS = 1600;
const MAX_TRIES = 8;
const END_OF_HEAD = '\r\n\r\n';

/** One flow at a back end. */
class BackendFlow {
  state = 'half-open';
  received = Buffer.alloc(0);
  tries = 0;
  waitMs = FIRST_RETRANSMISSION_MS;

  constructor(backend, packet) {
    const { src, sport, dst, dport, seq } = packet;
    Object.assign(this, { backend, src, sport, dst, dport });
    this.firstSeq = randomInt(2 ** 32);
    this.sendNext = (this.firstSeq + 1) >>> 0;
    this.receiveNext = (seq + 1) >>> 0;
    this.unacknowledged = [];
  }

  get key() {
    return flowKeyOf(this);
  }

  send(fields) {
    const { src, sport, dst, dport, receiveNext, echo } = this;
    const addresses = { src: dst, sport: dport, dst: src, dport: sport };
    this.backend.sendToClient(encode({ ack: receiveNext, echo, ...addresses, ...fields }), src);
  }

  sendSynAck() {
    this.send({ flags: SYN | ACK, seq: this.firstSeq });
    this.retransmitLater(() => this.state === 'half-open' && this.sendSynAck());
  }

  retransmitLater(retransmit) {
    clearTimeout(this.timer);
    if (this.tries >= MAX_TRIES) return;
    this.timer = setTimeout(() => {
      this.tries += 1;
      this.waitMs = Math.min(MAX_RETRANSMISSION_MS, this.waitMs * 2);
      retransmit();
    }, this.waitMs);
  }

  resetRetransmission() {
    clearTimeout(this.timer);
    this.tries = 0;
    this.waitMs = FIRST_RETRANSMISSION_MS;
  }

  /** Handles a packet other than a SYN; returns false if it does not belong to this flow. */
  receive(packet) {
    if (this.state === 'half-open') {
      if (packet.ack !== this.sendNext) return false;
      this.state = 'open';
      this.resetRetransmission();
      this.backend.record.note(`${this.backend.id} holds the end of the handshake of flow ${this.key}`);
    }
    this.takeAcknowledgement(packet.ack);
    if (packet.data.length > 0) this.takeData(packet);
    if ((packet.flags & FIN) !== 0) {
      this.receiveNext = (this.receiveNext + 1) >>> 0;
      this.state = 'ended';
      this.send({ flags: ACK | FIN, seq: this.sendNext });
    }
    return true;
  }

  takeAcknowledgement(ack) {
    const before = this.unacknowledged.length;
    this.unacknowledged = this.unacknowledged.filter(
      ({ seq, data }) => difference(seq + data.length, ack) > 0,
    );
    if (this.unacknowledged.length < before) this.resetRetransmission();
    if (this.unacknowledged.length > 0) this.retransmitLater(() => this.resend());
  }

  takeData({ seq, data }) {
    if (seq === this.receiveNext) {
      this.receiveNext = (seq + data.length) >>> 0;
      this.received = Buffer.concat([this.received, data]);
      this.runRequests();
    }
    this.send({ flags: ACK, seq: this.sendNext });
  }

  /** Runs each request that has arrived whole. */
  runRequests() {
    for (;;) {
      const text = this.received.toString('latin1');
      const end = text.indexOf(END_OF_HEAD);
      if (end < 0) return;
      const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
      const total = end + END_OF_HEAD.length + length;
      if (this.received.length < total) return;
      this.received = this.received.subarray(total);
      this.backend.run(this, /sailquay-request-id: (\S+)/i.exec(text)?.[1]);
    }
  }

  /** Sends an answer; a back end that is draining closes the flow after it. */
  answer(bytes) {
    for (let start = 0; start < bytes.length; start += MAX_DATA_BYTES) {
      const data = bytes.subarray(start, start + MAX_DATA_BYTES);
      this.unacknowledged.push({ seq: this.sendNext, data });
      this.sendNext = (this.sendNext + data.length) >>> 0;
    }
    this.resend();
    if (this.backend.state === 'draining') this.send({ flags: ACK | FIN, seq: this.sendNext });
  }

  resend() {
    for (const { seq, data } of this.unacknowledged) this.send({ flags: ACK, seq, data });
    this.retransmitLater(() => this.unacknowledged.length > 0 && this.resend());
  }
}

/** Key of a flow in maps and records. */
export function flowKeyOf({ src, sport, dst, dport }) {
  return `${toAddress(src)}:${sport}>${toAddress(dst)}:${dport}`;
}

/** One back end process. */
export class Backend {
  flows = new Map();
  state = 'ready';
  isAlive = true;
  callCount = 0;
  /** Requests that it works on. */
  running = 0;
  /** Called with each packet that arrives; for tests. */
  onPacket = () => undefined;
  /** Returns true if a packet to a client is lost on its way; for tests. */
  isLost = () => false;

  constructor({ id, service, ip, zone, workMs, store, record, clientPort, heartbeatMs = 1200 }) {
    Object.assign(this, { id, service, ip, zone, workMs, store, record, clientPort, heartbeatMs });
    this.prefix = Buffer.from(id.replace(/^.*?([0-9a-f]+)$/, '$1').padStart(16, '0'), 'hex');
    this.bornMs = Date.now();
  }

  /** Binds UDP and TCP at one address, and records the back end in the store. */
  async start(port) {
    this.address = `${this.ip}:${port}`;
    this.socket = createSocket('udp4');
    await new Promise((resolve) => this.socket.bind(port, this.ip, resolve));
    this.socket.on('message', (datagram, from) => this.receive(datagram, from));
    this.health = createServer((_request, response) => {
      response.writeHead(this.state === 'ready' ? 200 : 503, { 'sailquay-instance-id': this.id });
      response.end();
    });
    await new Promise((resolve) => this.health.listen(port, this.ip, resolve));
    this.writeEntry();
    this.timer = setInterval(() => this.writeEntry(), this.heartbeatMs);
  }

  writeEntry() {
    const { service, address, zone, state, callCount, bornMs } = this;
    const entry = { service, address, zone, version: 'v1', capacity: 2, state, cold_remaining_ms: 0 };
    this.store.put('servers', this.id, { ...entry, call_count: callCount, born: bornMs }, 'call_count');
  }

  /** Declares that it leaves; the store's answer is the acknowledgement. */
  drain() {
    this.state = 'draining';
    this.writeEntry();
    this.record.note(`store: ${this.id} is draining, revision ${this.store.revision}`);
  }

  sendToClient(packet, client) {
    const { flags, sport, dport } = decode(packet);
    const lost = this.isLost(packet);
    if (lost)
      this.record.note(`${this.id}: ${describeFlags(flags)} to client port ${dport} from ${sport} is lost`);
    else if (this.isAlive) this.socket.send(packet, this.clientPort, toAddress(client));
  }

  receive(datagram, from) {
    const prefix = datagram.subarray(0, PREFIX_BYTES);
    const isForAny = prefix.every((byte) => byte === 0);
    if (!isForAny && !prefix.equals(this.prefix)) return;
    const packet = decode(datagram.subarray(PREFIX_BYTES));
    this.onPacket(packet, from);
    if (!packet.isGenuine) return this.record.note(`${this.id}: forged packet of ${flowKeyOf(packet)}`);
    const flow = this.flows.get(flowKeyOf(packet));
    if (packet.flags === SYN) return this.receiveSyn(packet, flow);
    if (!flow) return this.reset(packet);
    flow.echo = packet.echo;
    if ((packet.flags & RST) !== 0) return void this.forget(flow);
    if (flow.state === 'ended') return packet.data.length > 0 ? this.reset(packet) : undefined;
    if (!flow.receive(packet)) this.reset(packet);
  }

  receiveSyn(packet, known) {
    const flow = known ?? new BackendFlow(this, packet);
    this.flows.set(flow.key, flow);
    flow.echo = packet.echo;
    this.record.note(`${this.id} takes SYN copy ${packet.ack} of flow ${flow.key}`);
    if (flow.state === 'half-open') flow.sendSynAck();
  }

  forget(flow) {
    clearTimeout(flow.timer);
    this.flows.delete(flow.key);
  }

  /** Answers a packet of a flow that it does not hold. */
  reset({ flags, ack, src, sport, dst, dport }) {
    if ((flags & RST) !== 0) return;
    const key = flowKeyOf({ src, sport, dst, dport });
    this.record.note(
      `${this.id} does not hold flow ${key} and resets it (${describeFlags(flags)}, ack ${ack})`,
    );
    this.sendToClient(
      encode({ flags: RST, seq: ack, ack: 0, src: dst, sport: dport, dst: src, dport: sport }),
      src,
    );
  }

  run(flow, requestId) {
    this.callCount += 1;
    this.running += 1;
    const workMs = this.workMs * (0.5 + Math.random());
    this.record.note(`${this.id} runs request ${requestId} of flow ${flow.key}`);
    setTimeout(() => {
      if (!this.isAlive) return;
      this.running -= 1;
      const body = `${requestId} was run by ${this.id} `.padEnd(600, '.');
      const head = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\nSailquay-Response-Signature: ${this.id}`;
      flow.answer(Buffer.from(`${head}${END_OF_HEAD}${body}`, 'latin1'));
    }, workMs);
  }

  async close() {
    this.isAlive = false;
    clearInterval(this.timer);
    for (const flow of this.flows.values()) clearTimeout(flow.timer);
    this.health.closeAllConnections();
    await Promise.all([
      new Promise((resolve) => this.socket.close(resolve)),
      new Promise((resolve) => this.health.close(resolve)),
    ]);
  }
}
