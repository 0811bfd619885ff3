/**
 * The control channel over one UDP socket: authenticated, replay-protected, metered and budgeted.
 *
 * Owns the socket, the sequence numbers and the counts of dropped datagrams. Relies on the key ring, the replay
 * guard, the meter and the budget of this folder.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import Result from 'true-myth/result';
import type { Clock } from '../../common/clock.js';
import { formatEndpoint, sameEndpoint, type Endpoint } from '../../common/types.js';
import { SILENT_EVENT_LOG, type EventLog } from '../../observability/event.js';
import { ControlBudget } from './budget.js';
import {
  DEFAULT_BUDGET_BYTES_PER_SECOND,
  IP_UDP_HEADER_BYTES,
  PROTOCOL_VERSION_MAX,
  PROTOCOL_VERSION_MIN,
} from './constants.js';
import { openEnvelope, sealEnvelope, type ControlEnvelope } from './envelope.js';
import { ControlError } from './errors.js';
import { CONTROL_EVENTS } from './events.js';
import { KeyRing } from './key-ring.js';
import { ControlMeter, type MeterSnapshot } from './meter.js';
import { ReplayGuard } from './replay-guard.js';
import {
  MAX_CONTROL_PAYLOAD_BYTES,
  type ControlChannel,
  type ControlKind,
  type InboundControlMessage,
} from './types.js';
import { highestCommonVersion, type VersionRange } from './version.js';
import { WarningLimiter } from './warning-limiter.js';

/** Why a received datagram was dropped. */
export type ControlDropReason =
  'malformed' | 'forged' | 'unknown-key' | 'replayed' | 'stale' | 'version' | 'self' | 'unhandled';

/** What a channel needs. */
export interface UdpControlChannelOptions {
  /** Address to bind; port 0 lets the kernel choose. */
  readonly bind: Endpoint;
  /** Address under which peers reach this socket; the bound one unless given. Signed into every datagram. */
  readonly advertised?: Endpoint;
  readonly memberId: string;
  /** Milliseconds since the epoch at process start. */
  readonly incarnation: number;
  /** Path of the key file (see key-ring.ts). */
  readonly keyFile: string;
  readonly clock: Clock;
  readonly events?: EventLog;
  readonly budgetBytesPerSecond?: number;
  /** Versions spoken; the build's own unless a test says otherwise. */
  readonly versions?: VersionRange;
}

/** Senders that are long silent are forgotten this often, in ms. Well below `REPLAY_FORGET_MS`. */
const PRUNE_INTERVAL_MS = 60_000;
const OWN_VERSIONS: VersionRange = { min: PROTOCOL_VERSION_MIN, max: PROTOCOL_VERSION_MAX };

/** The channel of one process; open it with `UdpControlChannel.open`. */
export class UdpControlChannel implements ControlChannel {
  /** Where the socket is bound. */
  readonly endpoint: Endpoint;
  private readonly advertisedText: string;
  private readonly versions: VersionRange;
  private readonly events: EventLog;
  private readonly budget: ControlBudget;
  private readonly byteMeter: ControlMeter;
  private readonly replayGuard: ReplayGuard;
  private readonly handlers = new Map<ControlKind, (message: InboundControlMessage) => void>();
  private readonly dropCounts = new Map<ControlDropReason, number>();
  private readonly warnings: WarningLimiter;
  private sequence = 0;
  private closed = false;

  private constructor(
    private readonly options: UdpControlChannelOptions,
    private readonly socket: Socket,
    private keys: KeyRing,
  ) {
    const address = socket.address();
    this.endpoint = { host: address.address, port: address.port };
    this.advertisedText = formatEndpoint(options.advertised ?? this.endpoint);
    this.versions = options.versions ?? OWN_VERSIONS;
    this.events = options.events ?? SILENT_EVENT_LOG;
    this.budget = new ControlBudget(
      options.clock,
      options.budgetBytesPerSecond ?? DEFAULT_BUDGET_BYTES_PER_SECOND,
    );
    this.byteMeter = new ControlMeter(options.clock);
    this.warnings = new WarningLimiter(options.clock, this.events);
    this.replayGuard = new ReplayGuard(options.clock);
    socket.on('message', (datagram, remote) => this.receive(datagram, remote));
    socket.on('error', (error) => this.events.emit(CONTROL_EVENTS.socketFailed, { error: error.message }));
    this.schedulePrune();
    this.events.emit(CONTROL_EVENTS.channelOpened, { endpoint: formatEndpoint(this.endpoint) });
  }

  /** Reads the keys and binds the socket; err `control.key-file` or `control.bind`. */
  static async open(options: UdpControlChannelOptions): Promise<Result<UdpControlChannel, ControlError>> {
    const keys = KeyRing.load(options.keyFile);
    if (keys.isErr) return Result.err(keys.error);
    const socket = createSocket('udp4');
    try {
      await bindSocket(socket, options.bind);
    } catch (cause) {
      return Result.err(bindError(options.bind, cause));
    }
    return Result.ok(new UdpControlChannel(options, socket, keys.value));
  }

  send(to: Endpoint, kind: ControlKind, payload: Uint8Array): boolean {
    if (payload.length > MAX_CONTROL_PAYLOAD_BYTES) {
      throw new RangeError(`control payload of ${payload.length} bytes exceeds ${MAX_CONTROL_PAYLOAD_BYTES}`);
    }
    if (this.closed) return false;
    const datagram = sealEnvelope(this.envelope(kind, payload), formatEndpoint(to), this.keys);
    const wireBytes = datagram.length + IP_UDP_HEADER_BYTES;
    if (!this.budget.take(kind, wireBytes)) {
      this.byteMeter.countDeferred(kind);
      return false;
    }
    this.sequence += 1;
    this.byteMeter.countOut(kind, wireBytes);
    this.socket.send(datagram, to.port, to.host, (error) => this.onSendResult(error));
    return true;
  }

  handle(kind: ControlKind, handler: (message: InboundControlMessage) => void): void {
    if (this.handlers.has(kind)) {
      throw new ControlError(
        'control.duplicate-handler',
        `Messages of kind ${kind} already have a handler`,
        'Register one handler for each kind',
      );
    }
    this.handlers.set(kind, handler);
  }

  availableBytesPerSecond(): number {
    return Math.max(0, this.budget.bytesPerSecond - this.byteMeter.bytesOutPerSecond());
  }

  /** Counters and rates by kind. */
  meter(): MeterSnapshot {
    return this.byteMeter.snapshot();
  }

  /** Datagrams dropped since start, by reason. */
  drops(): ReadonlyMap<ControlDropReason, number> {
    return this.dropCounts;
  }

  /** Reads the key file again; on an error the previous keys stay in force. */
  reloadKeys(): Result<void, ControlError> {
    const loaded = KeyRing.load(this.options.keyFile);
    if (loaded.isErr) {
      this.events.emit(CONTROL_EVENTS.keysRejected, { error: loaded.error.message });
      return Result.err(loaded.error);
    }
    this.keys = loaded.value;
    this.events.emit(CONTROL_EVENTS.keysLoaded, {
      active: this.keys.activeId,
      ids: this.keys.ids().join(','),
    });
    return Result.ok<void, ControlError>(undefined);
  }

  /** Closes the socket; nothing is sent or received afterwards. */
  async close(): Promise<void> {
    if (this.closed) return;
    this.closed = true;
    await new Promise<void>((resolve) => this.socket.close(() => resolve()));
  }

  private envelope(kind: ControlKind, payload: Uint8Array): ControlEnvelope {
    return {
      versionMin: this.versions.min,
      versionMax: this.versions.max,
      senderId: this.options.memberId,
      senderIncarnation: this.options.incarnation,
      sequence: this.sequence + 1,
      wallSeconds: Math.floor(this.options.clock.wall() / 1_000),
      kind,
      payload,
    };
  }

  private receive(datagram: Buffer, remote: RemoteInfo): void {
    if (this.closed) return;
    const opened = openEnvelope(datagram, this.advertisedText, this.keys);
    if (opened.outcome === 'rejected') {
      this.drop(opened.fault);
      if (opened.fault !== 'malformed') this.warnOfAuthentication(remote);
      return;
    }
    const { envelope } = opened;
    const from = { host: remote.address, port: remote.port };
    const version = this.accept(envelope, from);
    if (version === undefined) return;
    this.byteMeter.countIn(envelope.kind, datagram.length + IP_UDP_HEADER_BYTES);
    const handler = this.handlers.get(envelope.kind);
    if (!handler) return this.drop('unhandled');
    handler({
      senderId: envelope.senderId,
      senderIncarnation: envelope.senderIncarnation,
      from,
      payload: envelope.payload,
      protocolVersion: version,
    });
  }

  /** The agreed protocol version, or undefined when the message was dropped. */
  private accept(envelope: ControlEnvelope, from: Endpoint): number | undefined {
    if (this.isOwn(envelope, from)) {
      this.drop('self');
      return undefined;
    }
    const { senderId, senderIncarnation, sequence, wallSeconds } = envelope;
    const verdict = this.replayGuard.judge(senderId, senderIncarnation, sequence, wallSeconds);
    if (verdict !== 'fresh') {
      this.drop(verdict);
      return undefined;
    }
    const versions = { min: envelope.versionMin, max: envelope.versionMax };
    const version = highestCommonVersion(this.versions, versions);
    if (version === undefined) this.dropIncompatible(senderId, from, versions);
    return version;
  }

  /** True for this process's own datagrams, reflected or sent to itself. */
  private isOwn(envelope: ControlEnvelope, from: Endpoint): boolean {
    if (envelope.senderId !== this.options.memberId) return false;
    return envelope.senderIncarnation === this.options.incarnation || sameEndpoint(from, this.endpoint);
  }

  private dropIncompatible(member: string, from: Endpoint, versions: VersionRange): void {
    this.drop('version');
    this.warnings.warn(`version ${member}`, CONTROL_EVENTS.incompatiblePeer, {
      address: from.host,
      port: from.port,
      member,
      versionMin: versions.min,
      versionMax: versions.max,
    });
  }

  private warnOfAuthentication({ address, port }: RemoteInfo): void {
    this.warnings.warn('authentication', CONTROL_EVENTS.authenticationFailing, { address, port });
  }

  private drop(reason: ControlDropReason): void {
    this.dropCounts.set(reason, (this.dropCounts.get(reason) ?? 0) + 1);
  }

  private onSendResult(error: Error | null): void {
    if (!error || this.closed) return;
    this.events.emit(CONTROL_EVENTS.socketFailed, { error: error.message });
  }

  private schedulePrune(): void {
    this.options.clock.schedule(PRUNE_INTERVAL_MS, () => {
      if (this.closed) return;
      this.replayGuard.prune();
      this.schedulePrune();
    });
  }
}

async function bindSocket(socket: Socket, bind: Endpoint): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(bind.port, bind.host, () => {
      socket.off('error', reject);
      resolve();
    });
  });
}

function bindError(bind: Endpoint, cause: unknown): ControlError {
  return new ControlError(
    'control.bind',
    `Control channel cannot bind ${formatEndpoint(bind)}`,
    'Choose a free port and an address of this machine',
    { cause },
  );
}
