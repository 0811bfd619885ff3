/** The status document of one daemon, as `/status` shows it and `sailquay status` reads it. */
import type { MeterSnapshot } from '../control/index.js';
import type { DisseminationStatus } from '../dissemination/index.js';
import type { FlowDescription, FlowStatistics } from '../flow/index.js';
import type { HealthStatistics } from '../health/index.js';
import type { PlacementStatistics } from '../placement/index.js';
import type { BackendCondition, HealthEvidence } from '../health/types.js';
import type { MemberState } from '../membership/types.js';

/** Where a daemon is in its life. */
export type DaemonPhase = 'starting' | 'active' | 'draining' | 'stopped';

/** One member as this daemon sees it; addresses as `host:port`. */
export interface MemberStatus {
  readonly id: string;
  readonly zone: string;
  readonly state: MemberState;
  readonly incarnation: number;
  readonly control: string;
  readonly data: string;
  readonly admin: string;
  /** 0 when unknown. */
  readonly settingsVersion: number;
}

/** One back end as this daemon sees it. */
export interface BackendStatus {
  readonly service: string;
  readonly name: string;
  readonly id: number;
  readonly endpoint: string;
  readonly zone: string;
  readonly condition: BackendCondition;
  readonly eligible: boolean;
  /** 0–1. */
  readonly warmup: number;
  readonly weight: number;
  /** Flows that this daemon keeps there; undefined when the data path does not run. */
  readonly openFlows: number | undefined;
  /** 0–1; undefined when not trusted. */
  readonly reportedLoad: number | undefined;
  readonly evidence: readonly EvidenceStatus[];
}

/** One piece of evidence with its age. */
interface EvidenceStatus {
  readonly source: HealthEvidence['source'];
  readonly text: string;
  readonly ageMs: number;
}

/**
 * What `/status?view=summary` shows: everything but the back ends one by one, so that reading a large fleet stays
 * cheap.
 */
export interface DaemonSummary {
  readonly id: string;
  readonly region: string;
  readonly zone: string;
  readonly phase: DaemonPhase;
  readonly ready: boolean;
  /** Why it is not ready; empty when it is. */
  readonly reasons: readonly string[];
  readonly addresses: { readonly control: string; readonly data: string; readonly admin: string };
  /** Milliseconds since the epoch. */
  readonly startedAt: number;
  readonly settings: SettingsStatus;
  readonly membership: MembershipStatus;
  readonly flow: FlowStatistics;
  readonly keeper: FlowDescription;
  readonly placement: PlacementStatistics;
  /** Refused openings by reason, since start. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Packets dropped at the edge by reason, since start. */
  readonly edgeDrops: Readonly<Record<string, number>>;
  /** Flows kept here by back end id; back ends without any are left out. */
  readonly flowsByBackend: Readonly<Record<string, number>>;
  readonly health: HealthStatistics;
  readonly control: MeterSnapshot;
  /** Control messages dropped by reason, since start. */
  readonly controlDrops: Readonly<Record<string, number>>;
  readonly process: ProcessStatus;
}

/** The whole document. */
export interface DaemonStatus extends DaemonSummary {
  readonly backends: readonly BackendStatus[];
}

/** Settings in force. */
interface SettingsStatus extends DisseminationStatus {
  /** Milliseconds since the epoch when the version came into force here; undefined before the first. */
  readonly inForceSince: number | undefined;
}

/** Membership as this daemon believes it. */
interface MembershipStatus {
  readonly sequence: number;
  readonly digest: number;
  readonly quorate: boolean;
  readonly members: readonly MemberStatus[];
}

/** Use of the machine by this process. */
export interface ProcessStatus {
  readonly pid: number;
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}
