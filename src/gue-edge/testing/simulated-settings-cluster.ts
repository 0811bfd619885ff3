/**
 * A region of distributors on a simulated network, clock and platform; for tests and measurements only.
 *
 * Owns the network, the clock and the platform of one simulation. Relies on the product code of this folder unchanged.
 */
import { VirtualClock } from '../../common/clock.js';
import { seededRandom, type RandomSource } from '../../common/random.js';
import type { Endpoint } from '../../common/types.js';
import { PausableClock } from './pausable-clock.js';
import { SimulatedNetwork, type SimulatedChannel } from './simulated-network.js';
import type { Member, MembershipFeed, MembershipView } from '../membership/types.js';
import { SILENT_EVENT_LOG } from '../../observability/event.js';
import type { EffectiveSettings, TreeDocument, TreeNode } from '../../settings/index.js';
import { TREE_OBJECT_KEY } from '../../settings/index.js';
import { InMemoryPlatform } from '../../standin/platform/in-memory-platform.js';
import { SettingsDistributor } from '../dissemination/distributor.js';

const REGION = 'test';
const CONTROL_PORT = 7_946;

/** Size, seed and faults of a cluster. */
export interface ClusterOptions {
  readonly members: number;
  readonly seed: number;
  readonly zones?: number;
  readonly lossRate?: number;
  readonly duplicateRate?: number;
  readonly delayMs?: readonly [min: number, max: number];
}

/** One simulated balancer. */
export interface ClusterMember {
  readonly id: string;
  readonly distributor: SettingsDistributor;
  readonly channel: SimulatedChannel;
  readonly clock: PausableClock;
  /** Versions in the order in which they took effect. */
  readonly versions: number[];
}

/** Membership that is the same everywhere and changes only by `SimulatedCluster`. */
class FixedMembership implements MembershipFeed {
  constructor(
    readonly selfId: string,
    private readonly shared: { view: MembershipView },
  ) {}

  view(): MembershipView {
    return this.shared.view;
  }

  subscribe(): () => void {
    return () => undefined;
  }
}

export class SimulatedCluster {
  readonly clock = new VirtualClock();
  readonly platform = new InMemoryPlatform(this.clock);
  readonly network: SimulatedNetwork;
  readonly members: ClusterMember[] = [];
  readonly random: RandomSource;
  private readonly shared: { view: MembershipView };
  private edits = 0;

  constructor(private readonly options: ClusterOptions) {
    this.random = seededRandom(options.seed);
    this.shared = { view: { sequence: 0, members: [], digest: 0, quorate: true } };
    this.network = new SimulatedNetwork({
      clock: this.clock,
      random: this.random,
      delayMs: options.delayMs ?? [1, 3],
      lossRate: options.lossRate,
      duplicateRate: options.duplicateRate,
    });
    for (let index = 0; index < options.members; index += 1) this.createMember();
    for (const { distributor } of this.members) distributor.start();
  }

  /** Adds and starts a member; it is in everyone's view at once. */
  addMember(): ClusterMember {
    const member = this.createMember();
    member.distributor.start();
    return member;
  }

  private createMember(): ClusterMember {
    const index = this.members.length;
    const id = `balancer-${index}`;
    const endpoint = { host: `10.0.${index >> 8}.${index & 0xff}`, port: CONTROL_PORT };
    const zone = `zone-${index % (this.options.zones ?? 3)}`;
    const members = [...this.shared.view.members, describeMember(id, zone, endpoint)];
    this.shared.view = { ...this.shared.view, sequence: this.shared.view.sequence + 1, members };
    const clock = new PausableClock(this.clock);
    const channel = this.network.channel(endpoint, id, 1);
    const distributor = new SettingsDistributor({
      region: REGION,
      clock,
      random: seededRandom(this.options.seed * 1_000 + index),
      events: SILENT_EVENT_LOG,
      channel,
      membership: new FixedMembership(id, this.shared),
      platform: this.platform.client(id, clock),
    });
    const versions: number[] = [];
    distributor.subscribe((settings: EffectiveSettings) => versions.push(settings.version));
    const member = { id, distributor, channel, clock, versions };
    this.members.push(member);
    return member;
  }

  /** Writes a tree to the store past every client; returns its version. */
  edit(document: TreeDocument): number {
    const current = this.platform.store.get(TREE_OBJECT_KEY)?.version ?? 0;
    this.edits += 1;
    const record = {
      token: `edit-${this.edits}`,
      author: 'test',
      atWallMs: this.clock.wall(),
      summary: '',
      changes: [],
      version: 0,
    };
    const outcome = this.platform.store.put(TREE_OBJECT_KEY, { ...document, edits: [record] }, current);
    if (!outcome.accepted) throw new Error('the store refused a write with its own version');
    return outcome.entry.version;
  }

  /** Stops or resumes a member's process: its timers, its datagrams and what it reads from the store. */
  setPaused(id: string, paused: boolean): void {
    const member = this.members.find((candidate) => candidate.id === id);
    if (!member) throw new RangeError(`no member ${id}`);
    this.platform.holdReads(id, paused);
    for (const part of [member.clock, member.channel]) {
      if (paused) part.pause();
      else part.resume();
    }
  }

  /** Moves time on for everyone. */
  run(milliseconds: number): Promise<void> {
    return this.clock.advanceAsync(milliseconds);
  }

  /** Number of members with `version` in force. */
  countAt(version: number): number {
    return this.members.filter((member) => member.distributor.current()?.version === version).length;
  }

  /** Stops every member. */
  async close(): Promise<void> {
    const closing = this.members.map((member) => member.distributor.close());
    for (const member of this.members) this.setPaused(member.id, false);
    await this.run(20);
    await Promise.all(closing);
  }
}

function describeMember(id: string, zone: string, control: Endpoint): Member {
  return {
    id,
    region: REGION,
    zone,
    control,
    admin: control,
    data: control,
    incarnation: 1,
    state: 'active',
    settingsVersion: 0,
  };
}

/** A valid tree with one service and `backends` back ends; `weight` is that of the first of them. */
export function sampleTree(backends: number, weight = 1): TreeDocument {
  const nodes: TreeNode[] = [
    { path: '', kind: 'defaults', fields: {} },
    { path: 'site', kind: 'site', fields: {} },
    { path: 'site/service', kind: 'service', fields: { address: '192.0.2.1:443' } },
  ];
  for (let index = 0; index < backends; index += 1) {
    const host = `10.1.${index >> 8}.${index & 0xff}`;
    nodes.push({
      path: `site/service/backend-${String(index).padStart(5, '0')}`,
      kind: 'backend',
      fields: {
        endpoint: `${host}:9000`,
        healthEndpoint: `${host}:9001`,
        zone: `zone-${index % 3}`,
        ...(index === 0 ? { weight } : {}),
      },
    });
  }
  return { nodes, edits: [] };
}
