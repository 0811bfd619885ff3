/**
 * Wires probing, gossip and beliefs together; the health feed of one balancer.
 *
 * Owns the vote table, the assignment of probers and one `ServiceHealth` for each service. Relies on settings for
 * the back ends, on membership for probers and witnesses, and on the data path to report each opening and its
 * outcome.
 */
import type { Clock } from '../../common/clock.js';
import { Ticker } from '../../common/event-stream.js';
import { hashString } from '../../common/hash.js';
import type { RandomSource } from '../../common/random.js';
import type { ControlChannel } from '../control/types.js';
import type { SettingsFeed } from '../dissemination/types.js';
import type { MembershipFeed } from '../membership/types.js';
import type { EventLog } from '../../observability/event.js';
import type { LoadView } from '../placement/types.js';
import type { EffectiveBackend, EffectiveSettings } from '../../settings/types.js';
import {
  EVALUATION_INTERVAL_MS,
  PAUSE_DETECTION_MS,
  PROBERS_PER_BACKEND,
  PROBERS_PER_REMOTE_BACKEND,
  REMOTE_PROBE_INTERVAL_FACTOR,
} from './constants.js';
import { HealthGossip, type GossipStatistics } from './gossip.js';
import { sharedFailures } from './own-vote-rules.js';
import { OwnVotes } from './own-votes.js';
import type { Probe } from './probe.js';
import { Prober, type ProberStatistics, type ProbeTarget } from './prober.js';
import { proberCandidates, ProberRanking } from './prober-assignment.js';
import { ServiceHealth } from './service-health.js';
import type { BackendHealth, HealthFeed, PassiveEvidence } from './types.js';
import { VoteTable, type Vote } from './votes.js';

/** What the monitor is made with. */
interface HealthMonitorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly settings: SettingsFeed;
  readonly membership: MembershipFeed;
  readonly control: ControlChannel;
  /** Flows that this balancer keeps, to check reported loads against. */
  readonly load: LoadView;
  /** `httpProbe` in the daemon. */
  readonly probe: Probe;
}

/** Totals since start. */
export interface HealthStatistics {
  readonly probing: ProberStatistics;
  readonly gossip: GossipStatistics;
  /** Services in panic now. */
  readonly servicesInPanic: number;
}

const MS_PER_SECOND = 1_000;

/** The members that probe a back end, and what they were found from. */
interface Assignment {
  /** Hashes, best first. */
  readonly probers: readonly number[];
  /** A balancer of this region stands in the back end's zone. */
  readonly isLocal: boolean;
  readonly zone: string;
  readonly ranking: ProberRanking;
}

/** Believes something about every back end of the settings in force; never touches an open flow. */
export class HealthMonitor implements HealthFeed {
  private readonly table = new VoteTable();
  private readonly services = new Map<number, ServiceHealth>();
  private readonly serviceOfBackend = new Map<number, ServiceHealth>();
  private readonly selfHash: number;
  private readonly ownVotes: OwnVotes;
  private readonly gossip: HealthGossip;
  private readonly prober: Prober;
  private ranking = new ProberRanking([]);
  private rankingChanges = this.ranking.changesSince(this.ranking);
  private candidateKey = '';
  private witnesses: ReadonlySet<number> = new Set();
  private readonly memberNames = new Map<number, string>();
  private assigned: ReadonlyMap<number, Assignment> = new Map();
  private configured = false;
  private evaluatedAtMs = -Infinity;

  constructor(private readonly options: HealthMonitorOptions) {
    const { clock, random, probe } = options;
    this.selfHash = hashString(options.membership.selfId);
    this.ownVotes = new OwnVotes(clock, this.selfHash, this.table, (vote, change) =>
      this.spreadOwn(vote, change),
    );
    this.gossip = new HealthGossip({ ...options, table: this.table, onVote: (vote) => this.learned(vote) });
    this.prober = new Prober({ clock, random, probe, vote: (id, patch) => this.ownVotes.update(id, patch) });
  }

  /** Probes, spreads and evaluates until `signal` aborts. */
  start(signal: AbortSignal): void {
    const { settings, membership, clock } = this.options;
    const ends = [
      settings.subscribe((next) => this.applySettings(next)),
      membership.subscribe(() => this.applyMembership()),
    ];
    signal.addEventListener('abort', () => {
      ends.forEach((end) => end());
      this.prober.stop();
    });
    this.gossip.start(signal);
    new Ticker(clock, () => EVALUATION_INTERVAL_MS).run(signal, (nowMs) => this.evaluateMoving(nowMs));
    this.applyMembership();
    const current = settings.current();
    if (current && !this.configured) this.applySettings(current);
  }

  health(backendId: number): BackendHealth {
    const known = this.serviceOfBackend.get(backendId)?.health(backendId, this.options.clock.now());
    return known ?? unknownBackend(backendId);
  }

  recordPassive(backendId: number, evidence: PassiveEvidence): void {
    const service = this.serviceOfBackend.get(backendId);
    const belief = service?.beliefs.get(backendId);
    if (!service || !belief) return;
    const nowMs = this.options.clock.now();
    const changed = belief.passive.record(evidence, nowMs);
    if (!changed) return;
    service.markDirty();
    this.ownVotes.update(backendId, { passiveFailures: sharedFailures(belief.passive, nowMs) });
  }

  /** Why a back end is believed to be as it is, one sentence a line, for status. */
  explain(backendId: number): string[] {
    const health = this.health(backendId);
    const nowMs = this.options.clock.now();
    const use = health.eligible
      ? `takes new flows at ${Math.round(health.warmup * 100)}%`
      : 'takes no new flow';
    const lines = health.evidence.map(({ source, text, atMs }) => {
      const ageSeconds = Math.max(0, (nowMs - atMs) / MS_PER_SECOND).toFixed(1);
      return `${source}: ${text} (${ageSeconds} s ago)`;
    });
    return [`${health.condition}: ${use}`, ...lines];
  }

  statistics(): HealthStatistics {
    const servicesInPanic = [...this.services.values()].filter((service) => service.inPanic).length;
    return { probing: this.prober.statistics(), gossip: this.gossip.statistics(), servicesInPanic };
  }

  private applySettings(settings: EffectiveSettings): void {
    const nowMs = this.options.clock.now();
    const warm = !this.configured;
    this.configured = true;
    const wanted = new Set(settings.services.map(({ id }) => id));
    for (const id of this.services.keys()) {
      if (!wanted.has(id)) this.services.delete(id);
    }
    this.serviceOfBackend.clear();
    for (const service of settings.services) {
      const health = this.services.get(service.id) ?? this.createService(service.id, service);
      if (!health.isConfiguredAs(service)) health.configure(service, nowMs, warm);
      for (const backend of service.backends) this.serviceOfBackend.set(backend.id, health);
    }
    this.assign();
  }

  private createService(id: number, service: EffectiveSettings['services'][number]): ServiceHealth {
    const { random, events, load } = this.options;
    const health = new ServiceHealth(service, {
      random,
      events,
      load,
      table: this.table,
      isWitness: (hash) => hash !== this.selfHash && this.witnesses.has(hash),
      probers: (backendId) => this.assigned.get(backendId)?.probers ?? [],
      memberName: (hash) => this.memberNames.get(hash) ?? `member ${hash.toString(16)}`,
    });
    this.services.set(id, health);
    return health;
  }

  private applyMembership(): void {
    const view = this.options.membership.view();
    const candidates = proberCandidates(view);
    const key = candidates.map(({ id }) => id).join('\n');
    const names = new Set(view.members.map(({ id }) => id));
    const sameNames =
      names.size === this.memberNames.size && [...this.memberNames.values()].every((id) => names.has(id));
    if (key === this.candidateKey && sameNames) return;
    this.candidateKey = key;
    const ranking = new ProberRanking(candidates);
    this.rankingChanges = ranking.changesSince(this.ranking);
    this.ranking = ranking;
    const before = { assigned: this.assigned, names: new Set(this.memberNames.keys()) };
    this.witnesses = new Set(candidates.map(({ hash }) => hash));
    this.memberNames.clear();
    for (const id of names) this.memberNames.set(hashString(id), id);
    this.markVotersDirty(before.names);
    this.assign();
    for (const [backendId, { probers }] of this.assigned) {
      if (before.assigned.get(backendId)?.probers !== probers)
        this.serviceOfBackend.get(backendId)?.markDirty();
    }
  }

  /** Votes of members that came, went or changed their part count otherwise than before. */
  private markVotersDirty(earlierNames: ReadonlySet<number>): void {
    const { added, removed } = this.rankingChanges;
    const changed = new Set([...added, ...removed].map(({ hash }) => hash));
    for (const hash of earlierNames) if (!this.memberNames.has(hash)) changed.add(hash);
    for (const [backendId, service] of this.serviceOfBackend) {
      for (const hash of changed) if (this.table.get(backendId, hash)) service.markDirty();
    }
  }

  /** Determines the probers of every back end and drops votes of members and on back ends that are gone. */
  private assign(): void {
    const targets: ProbeTarget[] = [];
    const assigned = new Map<number, Assignment>();
    for (const service of this.options.settings.current()?.services ?? []) {
      for (const backend of service.backends) {
        const assignment = this.assignmentOf(backend);
        assigned.set(backend.id, assignment);
        const { probers, isLocal } = assignment;
        if (!probers.includes(this.selfHash)) continue;
        targets.push({
          backend,
          policy: service.healthPolicy,
          readsLoad: probers[0] === this.selfHash,
          intervalFactor: isLocal ? 1 : REMOTE_PROBE_INTERVAL_FACTOR,
        });
      }
    }
    this.assigned = assigned;
    this.table.retain(new Set([...this.memberNames.keys(), this.selfHash]), new Set(assigned.keys()));
    this.prober.assign(targets, assigned.size);
  }

  /** The probers of a back end; those found before unless the members or its zone have changed. */
  private assignmentOf({ id, zone }: EffectiveBackend): Assignment {
    const known = this.assigned.get(id);
    if (known?.ranking === this.ranking && known.zone === zone) return known;
    const isLocal = this.ranking.hasZone(zone);
    const count = isLocal ? PROBERS_PER_BACKEND : PROBERS_PER_REMOTE_BACKEND;
    const changes = this.rankingChanges;
    if (known?.ranking === changes.earlier && known.zone === zone && changes.leaves(id, known.probers, count))
      return { ...known, ranking: this.ranking };
    return { probers: this.ranking.probersOf(id, count), isLocal, zone, ranking: this.ranking };
  }

  private spreadOwn(vote: Vote, change: 'load' | 'verdict'): void {
    this.serviceOfBackend.get(vote.backendId)?.markDirty();
    this.gossip.spread(vote, change);
  }

  private learned(vote: Vote): void {
    const service = this.serviceOfBackend.get(vote.backendId);
    service?.markDirty();
    if (vote.memberHash !== this.selfHash) return;
    const passive = service?.beliefs.get(vote.backendId)?.passive;
    const passiveFailures = passive ? sharedFailures(passive, this.options.clock.now()) : 0;
    this.ownVotes.reclaim(vote, { verdict: this.prober.verdict(vote.backendId), passiveFailures });
  }

  private evaluateMoving(nowMs: number): void {
    const paused = nowMs - this.evaluatedAtMs > PAUSE_DETECTION_MS;
    this.evaluatedAtMs = nowMs;
    if (paused) this.forgiveSilence();
    for (const service of this.services.values()) {
      if (!service.needsEvaluation(nowMs)) continue;
      this.expirePassive(service, nowMs);
      service.evaluate(nowMs);
    }
  }

  private forgiveSilence(): void {
    for (const service of this.services.values()) {
      for (const belief of service.beliefs.values()) belief.passive.forgiveSilence();
    }
  }

  private expirePassive(service: ServiceHealth, nowMs: number): void {
    for (const [id, belief] of service.beliefs) {
      belief.passive.expire(nowMs);
      this.ownVotes.update(id, { passiveFailures: sharedFailures(belief.passive, nowMs) });
    }
  }
}

/** Belief about a back end that is not in the settings in force: eligible, since there is no evidence against it. */
function unknownBackend(backendId: number): BackendHealth {
  return {
    backendId,
    condition: 'unknown',
    eligible: true,
    warmup: 1,
    reportedLoad: undefined,
    evidence: [],
  };
}
