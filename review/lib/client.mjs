/** A stand-in for clients: flows over UDP through the daemon that the routers pick, each with HTTP/1.1 requests. */
import { randomInt, randomUUID } from 'node:crypto';
import { createSocket } from 'node:dgram';
import { clearTimeout } from 'node:timers';
import { flowKeyOf } from './backend.mjs';
import { ACK, decode, describeFlags, difference, encode, FIN, RST, SYN, toNumber } from './packet.mjs';

const SYN_COPIES_AT_MS = [200, 600];
const OPENING_MS = 1400;
const FIRST_RETRANSMISSION_MS = 200;
const MAX_RETRANSMISSION_MS = 1600;
const RESET_WINDOW_BYTES = 76800;
const END_OF_HEAD = '\r\n\r\n';

/** One flow of a client. */
class ClientFlow {
  state = 'opening';
  echo = 0;
  received = Buffer.alloc(0);
  receiveNext = 0;
  /** Resets that reached the client: the sender's address and the state of the flow. */
  resets = [];

  constructor(client, sport, { dst, dport }) {
    Object.assign(this, { client, src: toNumber(client.ip), sport, dst: toNumber(dst), dport });
    this.firstSeq = randomInt(2 ** 32);
    this.sendNext = (this.firstSeq + 1) >>> 0;
    this.opened = new Promise((resolve) => (this.resolveOpened = resolve));
    this.timers = SYN_COPIES_AT_MS.map((atMs, index) => setTimeout(() => this.sendSyn(index + 1), atMs));
    this.timers.push(setTimeout(() => this.state === 'opening' && this.end('not opened'), OPENING_MS));
    this.sendSyn(0);
  }

  get key() {
    return flowKeyOf(this);
  }

  sendSyn(copy) {
    if (this.state !== 'opening') return;
    this.send({ flags: SYN, seq: this.firstSeq, ack: copy, echo: 0 }, `SYN copy ${copy}`);
  }

  send(fields, what) {
    const { src, sport, dst, dport, receiveNext, echo, client } = this;
    const packet = encode({ ack: receiveNext, echo, src, sport, dst, dport, ...fields });
    client.send(this, packet, what);
  }

  receive(packet, from) {
    this.echo = packet.echo;
    if ((packet.flags & RST) !== 0) return this.receiveReset(packet, from);
    if (this.state === 'opening' && packet.flags === (SYN | ACK)) return this.open(packet, from);
    if (packet.flags === (SYN | ACK)) {
      const isOwn = packet.seq + 1 === this.peerFirst;
      if (!isOwn)
        this.client.record.note(
          `client: SYN+ACK of another back end (${from.address}) on open flow ${this.key}`,
        );
      return;
    }
    if (this.state !== 'open') return;
    this.takeAcknowledgement(packet.ack);
    if (packet.data.length > 0) this.takeData(packet);
    if ((packet.flags & FIN) !== 0 && packet.seq === this.receiveNext) this.receiveFin();
  }

  /** Closes the flow, which its back end has closed. */
  receiveFin() {
    this.receiveNext = (this.receiveNext + 1) >>> 0;
    this.end('closed');
  }

  open(packet, from) {
    this.state = 'open';
    this.peer = from.address;
    this.peerFirst = packet.seq + 1;
    this.receiveNext = this.peerFirst >>> 0;
    this.clearTimers();
    this.client.record.note(`client: flow ${this.key} gets the SYN+ACK of ${from.address}`);
    if (this.request) this.sendRequest();
    else this.send({ flags: ACK, seq: this.sendNext }, 'ACK');
    this.resolveOpened(true);
  }

  receiveReset({ seq, sum }, from) {
    const isInWindow = Math.abs(difference(seq, this.receiveNext)) <= RESET_WINDOW_BYTES;
    const { state } = this;
    this.resets.push({ from: from.address, state, isInWindow, bySystem: sum === 0 });
    this.client.record.note(`client: reset from ${from.address} on ${state} flow ${this.key}`);
    if (state === 'opening' || isInWindow) this.end('reset');
  }

  takeAcknowledgement(ack) {
    const { request } = this;
    if (request && !request.isTaken && difference(ack, request.endSeq) >= 0) {
      request.isTaken = true;
      clearTimeout(this.retransmission);
    }
  }

  takeData({ seq, data }) {
    if (seq === this.receiveNext) {
      this.receiveNext = (seq + data.length) >>> 0;
      this.received = Buffer.concat([this.received, data]);
      this.takeAnswer();
    }
    if (this.state === 'open') this.send({ flags: ACK, seq: this.sendNext }, undefined);
  }

  takeAnswer() {
    const text = this.received.toString('latin1');
    const end = text.indexOf(END_OF_HEAD);
    if (end < 0) return;
    const total = end + END_OF_HEAD.length + Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
    if (this.received.length < total) return;
    this.received = this.received.subarray(total);
    this.finish('answered', text.slice(end + END_OF_HEAD.length, total));
  }

  /** Sends a request on this flow; resolves to its outcome. */
  call(kind, deadlineMs) {
    const id = randomUUID().slice(0, 8);
    const body = '.'.repeat(900);
    const head = `POST /${kind} HTTP/1.1\r\nContent-Length: ${body.length}\r\nSailquay-Request-Id: ${id}`;
    const request = { id, data: Buffer.from(`${head}${END_OF_HEAD}${body}`, 'latin1'), isTaken: false };
    this.request = request;
    const outcome = new Promise((resolve) => (request.resolve = resolve));
    request.deadline = setTimeout(() => this.finish('deadline'), deadlineMs);
    if (this.state === 'open') this.sendRequest();
    else if (this.state !== 'opening') this.finish(this.state);
    return outcome;
  }

  sendRequest() {
    const { request } = this;
    request.seq = this.sendNext;
    this.sendNext = (this.sendNext + request.data.length) >>> 0;
    request.endSeq = this.sendNext;
    this.client.record.note(`client: sends request ${request.id} on flow ${this.key}`);
    this.transmit(FIRST_RETRANSMISSION_MS);
  }

  transmit(waitMs) {
    const { request } = this;
    if (!request || request.isTaken || this.state !== 'open') return;
    this.send(
      { flags: ACK, seq: request.seq, data: request.data },
      `request ${request.id}, echo ${this.echo}`,
    );
    this.retransmission = setTimeout(
      () => this.transmit(Math.min(MAX_RETRANSMISSION_MS, 2 * waitMs)),
      waitMs,
    );
  }

  finish(how, body = '') {
    const { request } = this;
    if (!request) return;
    this.request = undefined;
    clearTimeout(request.deadline);
    clearTimeout(this.retransmission);
    const isOwn = how !== 'answered' || body.startsWith(request.id);
    this.client.record.note(`client: request ${request.id} on flow ${this.key}: ${how}`);
    request.resolve({ id: request.id, how, isOwn, body: body.trim() });
  }

  /** Ends the flow without a word, or with FIN if it is open. */
  end(state) {
    if (this.state === 'open' && state === 'closed')
      this.send({ flags: ACK | FIN, seq: this.sendNext }, undefined);
    this.state = state;
    this.clearTimers();
    this.finish(state);
    this.resolveOpened(false);
  }

  clearTimers() {
    for (const timer of this.timers) clearTimeout(timer);
    clearTimeout(this.retransmission);
  }
}

/** One client machine: an address in a zone. */
export class Client {
  flows = new Map();
  nextPort = 40001;

  constructor({ ip, zone, port, fleet, record }) {
    Object.assign(this, { ip, zone, port, fleet, record });
  }

  async start() {
    this.socket = createSocket('udp4');
    await new Promise((resolve) => this.socket.bind(this.port, this.ip, resolve));
    this.socket.on('message', (datagram, from) => {
      const packet = decode(datagram);
      const flow = this.flows.get(packet.dport);
      if (flow && packet.src === flow.dst && packet.sport === flow.dport) flow.receive(packet, from);
    });
  }

  /** Opens a flow from a new port. */
  open(route) {
    const flow = new ClientFlow(this, this.nextPort, route);
    this.flows.set(this.nextPort, flow);
    this.nextPort += 1;
    return flow;
  }

  send(flow, packet, what) {
    const daemon = this.fleet.pick(this.zone, flow.key);
    if (what) {
      const name = daemon ? daemon.name : 'no daemon';
      this.record.note(`client: ${what} (${describeFlags(packet[2])}) of flow ${flow.key} to ${name}`);
    }
    if (daemon) this.socket.send(packet, this.fleet.ports.data, daemon.ip);
  }

  async close() {
    for (const flow of this.flows.values()) {
      flow.clearTimers();
      if (flow.request) clearTimeout(flow.request.deadline);
    }
    await new Promise((resolve) => this.socket.close(resolve));
  }
}
