/**
 * Deterministic simulation of a fleet's health monitors: the real monitors on one virtual clock, joined by a
 * simulated control channel, in front of simulated back ends. For tests and for measuring what probing and gossip
 * cost; no sockets.
 */
import { VirtualClock, type Clock, type TimerHandle } from '../../common/clock.js';
import { seededRandom, type RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import type { ControlChannel, InboundControlMessage } from '../control/types.js';
import type { Member, MemberState, MembershipView } from '../membership/types.js';
import type { EventDefinition, EventLog } from '../../observability/event.js';
import {
  SIMULATED_HEALTH_POLICY,
  simulatedBackend as makeBackend,
  simulatedService,
  simulatedZone,
} from '../placement/simulated-service.js';
import type {
  EffectiveBackend,
  EffectiveService,
  EffectiveSettings,
  HealthPolicy,
} from '../../settings/types.js';
import { HealthMonitor } from '../health/health-monitor.js';
import { HEALTH_PATH, type ProbeResponse } from '../health/probe.js';
import type { BackendHealth } from '../health/types.js';

/** What is simulated. */
export interface HealthSimulationOptions {
  readonly members: number;
  /** Back ends of each service. */
  readonly backends: number;
  readonly services?: number;
  readonly seed: number;
  readonly policy?: Partial<HealthPolicy>;
  /** Share (0–1) of control messages that are lost. */
  readonly lossShare?: number;
}

/** How a simulated back end behaves; tests change the fields. */
export interface SimulatedBackend {
  readonly id: number;
  /** What a probe by the given member sees. */
  probe: (memberIndex: number) => 'good' | 'bad' | 'silent';
  /** What happens to an opening. */
  opening: 'answered' | 'silent' | 'reset';
  reportedFlows: number;
}

/** One monitor and what happened to it. */
export interface SimulatedMember {
  readonly index: number;
  readonly id: string;
  readonly monitor: HealthMonitor;
  /** Flows that it keeps, by back end; what the monitor checks reported loads against. */
  readonly ownFlows: Map<number, number>;
  readonly events: EventDefinition[];
  /** False while its control messages and probes are lost. */
  connected: boolean;
  state: MemberState;
  sentBytes: number;
  /** True while the process is stopped: its timers fire when it goes on. */
  paused: boolean;
}

const CONTROL_DELAY_MS = 2;
const PROBE_DELAY_MS = 2;
const FIRST_PORT = 1_000;
const CAPACITY = 2_000;
const PAUSE_POLL_MS = 10;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** The simulated fleet. */
export class HealthSimulation {
  readonly clock = new VirtualClock();
  readonly members: SimulatedMember[] = [];
  readonly backends = new Map<number, SimulatedBackend>();
  settings: EffectiveSettings;
  private readonly random: RandomSource;
  private readonly controllers: AbortController[] = [];
  private readonly handlers = new Map<number, (message: InboundControlMessage) => void>();
  private readonly settingsListeners = new Set<(settings: EffectiveSettings) => void>();
  private readonly viewListeners = new Set<(view: MembershipView) => void>();
  private viewSequence = 1;

  constructor(private readonly options: HealthSimulationOptions) {
    this.random = seededRandom(options.seed);
    this.settings = makeSettings(options);
    for (const service of this.settings.services) this.addBackends(service.backends);
    for (let index = 0; index < options.members; index += 1) this.members.push(this.makeMember(index));
    for (const member of this.members) this.start(member);
  }

  /** Ids of all back ends in the order of the settings. */
  get backendIds(): number[] {
    return this.settings.services.flatMap((service) => service.backends.map(({ id }) => id));
  }

  /** The behaviour of a back end by its place in `backendIds`. */
  backend(place: number): SimulatedBackend {
    return this.backends.get(this.backendIds[place]!)!;
  }

  /** What every member that is not gone believes of a back end. */
  beliefs(place: number): BackendHealth[] {
    const id = this.backendIds[place]!;
    const present = this.members.filter((member) => member.state !== 'gone');
    return present.map((member) => member.monitor.health(id));
  }

  /** Lets virtual time pass. */
  async advance(milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds);
  }

  /** Lets time pass while every member sends openings to the back ends that it believes eligible. */
  async advanceWithOpenings(milliseconds: number, openingsPerSecond: number): Promise<void> {
    const stepMs = 1_000 / openingsPerSecond;
    for (let passed = 0; passed < milliseconds; passed += stepMs) {
      for (const member of this.members) {
        if (member.state !== 'gone') this.openEverywhere(member);
      }
      await this.advance(stepMs);
    }
  }

  /** Changes a member's state in everybody's view. */
  setState(index: number, state: MemberState): void {
    this.members[index]!.state = state;
    this.viewSequence += 1;
    for (const listener of this.viewListeners) listener(this.view());
  }

  /** Puts other settings in force everywhere. */
  apply(change: (service: EffectiveService) => EffectiveService): void {
    const services = this.settings.services.map(change);
    this.settings = { version: this.settings.version + 1, services };
    for (const service of services) this.addBackends(service.backends);
    for (const listener of this.settingsListeners) listener(this.settings);
  }

  /** Delivers raw bytes to a member as a health message. */
  deliver(index: number, payload: Uint8Array): void {
    this.handlers.get(index)?.(this.inbound(this.members[0]!, payload));
  }

  stop(): void {
    for (const controller of this.controllers) controller.abort();
  }

  private start(member: SimulatedMember): void {
    const controller = new AbortController();
    this.controllers.push(controller);
    member.monitor.start(controller.signal);
  }

  private addBackends(backends: readonly EffectiveBackend[]): void {
    for (const { id } of backends) {
      if (this.backends.has(id)) continue;
      this.backends.set(id, { id, probe: () => 'good', opening: 'answered', reportedFlows: 100 });
    }
  }

  private openEverywhere(member: SimulatedMember): void {
    for (const backend of this.backends.values()) {
      if (!member.monitor.health(backend.id).eligible) continue;
      member.monitor.recordPassive(backend.id, 'opened');
      if (backend.opening === 'answered') member.monitor.recordPassive(backend.id, 'answered');
      if (backend.opening === 'reset') member.monitor.recordPassive(backend.id, 'reset-on-open');
    }
  }

  private makeMember(index: number): SimulatedMember {
    const id = `balancer-${index}`;
    const ownFlows = new Map<number, number>();
    const events: EventDefinition[] = [];
    const log: EventLog = { emit: (event) => events.push(event) };
    const member: SimulatedMember = {
      index,
      id,
      ownFlows,
      events,
      connected: true,
      state: 'active',
      sentBytes: 0,
      paused: false,
      monitor: new HealthMonitor({
        clock: this.clockOf(() => member.paused),
        random: seededRandom(this.options.seed * 10_000 + index),
        events: log,
        settings: {
          current: () => this.settings,
          subscribe: (listener) => subscribe(this.settingsListeners, listener),
        },
        membership: {
          selfId: id,
          view: () => this.view(),
          subscribe: (listener) => subscribe(this.viewListeners, listener),
        },
        control: this.control(index),
        load: { openFlows: (backendId) => ownFlows.get(backendId) ?? 0 },
        probe: (endpoint, path) => this.probe(index, endpoint, path),
      }),
    };
    return member;
  }

  /** The common clock, with timers that wait while the member is paused. */
  private clockOf(paused: () => boolean): Clock {
    const { clock } = this;
    const schedule = (delayMs: number, callback: () => void): TimerHandle => {
      let timer: TimerHandle;
      const fire = (): void => {
        if (paused()) timer = clock.schedule(PAUSE_POLL_MS, fire);
        else callback();
      };
      timer = clock.schedule(delayMs, fire);
      return { cancel: () => timer.cancel() };
    };
    return { now: () => clock.now(), wall: () => clock.wall(), schedule };
  }

  private control(index: number): ControlChannel {
    return {
      send: (to, _kind, payload) => this.send(index, to, payload),
      handle: (_kind, handler) => this.handlers.set(index, handler),
      availableBytesPerSecond: () => Infinity,
    };
  }

  private send(from: number, to: Endpoint, payload: Uint8Array): boolean {
    const sender = this.members[from]!;
    const receiver = this.members[to.port - FIRST_PORT];
    sender.sentBytes += payload.length;
    if (this.random() < (this.options.lossShare ?? 0)) return true;
    this.clock.schedule(CONTROL_DELAY_MS, () => {
      if (!receiver?.connected || receiver.state === 'gone' || receiver.paused || !sender.connected) return;
      this.handlers.get(receiver.index)?.(this.inbound(sender, payload));
    });
    return true;
  }

  private inbound(sender: SimulatedMember, payload: Uint8Array): InboundControlMessage {
    return {
      senderId: sender.id,
      senderIncarnation: 1,
      from: address(sender.index),
      payload,
      protocolVersion: 1,
    };
  }

  private probe(index: number, endpoint: Endpoint, path: string): Promise<ProbeResponse> {
    const backend = [...this.backends.values()].find(({ id }) => id === healthId(endpoint, this.settings))!;
    return new Promise((resolve) => {
      const outcome = this.members[index]?.connected ? backend.probe(index) : 'silent';
      if (outcome === 'silent') return;
      const load = { openFlows: backend.reportedFlows, busySlots: 0, capacity: CAPACITY };
      const good = outcome === 'good' || path !== HEALTH_PATH;
      const status = good ? STATUS_OK : STATUS_UNAVAILABLE;
      const body = path === HEALTH_PATH ? '' : JSON.stringify(load);
      this.clock.schedule(PROBE_DELAY_MS, () => resolve({ status, body }));
    });
  }

  private view(): MembershipView {
    const members = Array.from({ length: this.options.members }, (_, index) => this.viewMember(index));
    const present = members.filter(({ state }) => state !== 'gone');
    return { sequence: this.viewSequence, members: present, digest: this.viewSequence, quorate: true };
  }

  private viewMember(index: number): Member {
    return {
      id: `balancer-${index}`,
      region: 'region',
      zone: simulatedZone(index),
      control: address(index),
      admin: address(index),
      data: address(index),
      incarnation: 1,
      state: this.members[index]?.state ?? 'active',
      settingsVersion: 1,
    };
  }
}

function subscribe<T>(listeners: Set<T>, listener: T): () => void {
  listeners.add(listener);
  return () => listeners.delete(listener);
}

function address(index: number): Endpoint {
  return { host: '127.0.0.1', port: FIRST_PORT + index };
}

/** A back end's health endpoint carries its id as the port; see `simulatedBackend`. */
function healthId(endpoint: Endpoint, settings: EffectiveSettings): number | undefined {
  for (const service of settings.services) {
    for (const backend of service.backends) {
      if (backend.health.host === endpoint.host && backend.health.port === endpoint.port) return backend.id;
    }
  }
  return undefined;
}

/** A back end for a simulated service; `number` is unique in the simulation. */
export function simulatedBackend(service: string, number: number): EffectiveBackend {
  const host = '127.0.0.1';
  return makeBackend(`${service}/backend-${number}`, {
    zone: simulatedZone(number),
    endpoint: { host, port: 20_000 + number },
    health: { host, port: 40_000 + number },
    maxConnections: CAPACITY,
  });
}

function makeSettings(options: HealthSimulationOptions): EffectiveSettings {
  const services = Array.from({ length: options.services ?? 1 }, (_, number) => makeService(options, number));
  return { version: 1, services };
}

function makeService(options: HealthSimulationOptions, number: number): EffectiveService {
  const name = `simulation/service-${number}`;
  const first = number * options.backends;
  return simulatedService(name, {
    address: { host: '127.0.0.1', port: 9_000 + number },
    healthPolicy: { ...SIMULATED_HEALTH_POLICY, ...options.policy },
    backends: Array.from({ length: options.backends }, (_, index) => simulatedBackend(name, first + index)),
  });
}
