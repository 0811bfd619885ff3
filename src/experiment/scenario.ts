/**
 * A scenario: topology, load, timed actions and goals of one experiment, read from YAML. Times are seconds from the
 * start of the load unless the name says otherwise. Every unknown field is an error.
 */
import { z } from 'zod';
import { actionSchema } from './scenario-actions.js';

const share = z.number().min(0).max(1);
const positiveInteger = z.number().int().positive();

/** Load on one service by one group of caller processes. */
const loadSchema = z
  .strictObject({
    /** Service node below the site, or `main` (most back ends) or `second`. */
    service: z.string().min(1),
    /** Caller processes, which share the load equally. */
    callers: positiveInteger.max(8).default(1),
    /** Start and end of this load, seconds; absent end: the run's. At its end all flows are closed in order. */
    from: z.number().nonnegative().default(0),
    until: z.number().positive().optional(),
    /** Flows held open from `from` until `until`, and the pace at which they are opened. */
    longFlows: z.number().int().nonnegative().max(100_000).default(0),
    longFlowsPerSecond: z.number().positive().default(500),
    /** Flows of limited life opened a second, and their mean life (exponential). */
    openingsPerSecond: z.number().nonnegative().max(50_000).default(0),
    lifetimeSeconds: z.number().positive().default(5),
    /** Mean time between two requests of a flow, ms. */
    requestIntervalMs: z.number().positive().default(1_000),
    /** Share of requests that must not run twice. */
    unrepeatableShare: share.default(0.5),
    /** Share of requests cancelled right after they were sent. */
    cancelShare: share.default(0),
    /** Deadline sent with each request, ms; absent: none. */
    deadlineMs: z.number().positive().optional(),
  })
  .refine((load) => load.longFlows > 0 || load.openingsPerSecond > 0, 'give longFlows or openingsPerSecond');

/** What a back end can do; what is left out is the stand-in's default (2 slots, 2,000 connections). */
const backendCapacitySchema = z.strictObject({
  slots: positiveInteger.optional(),
  maxConnections: positiveInteger.optional(),
  /** Requests that wait for a slot; one more is shed. */
  maxQueued: z.number().int().nonnegative().optional(),
  serviceTimeMs: z.number().positive().optional(),
  serviceTimeDistribution: z.enum(['fixed', 'exponential', 'lognormal']).optional(),
  /** After a start, service times are multiplied by `coldFactor` for this long. */
  coldStartMs: z.number().nonnegative().optional(),
  coldFactor: z.number().positive().optional(),
});

/** What the network between fabric and balancers does to packets. */
const fabricSchema = z.strictObject({
  loss: share.default(0),
  reorder: share.default(0),
  duplicate: share.default(0),
  /** Added delay of the reordered packets, ms. */
  reorderDelayMs: z.number().nonnegative().default(5),
  /** One-way delay of every packet, ms. */
  delayMs: z.number().nonnegative().default(0),
});

/** Which processes are started. */
const topologySchema = z.strictObject({
  /** Balancers in each zone of the tree. */
  balancersPerZone: positiveInteger.max(16).default(1),
  /** Back ends left out at the start; `backend-add` adds them later. */
  spareBackends: z.array(z.string().min(1)).default([]),
  /** Capacity of every back end, and of single ones by name. */
  backends: backendCapacitySchema.prefault({}),
  backendOverrides: z.record(z.string(), backendCapacitySchema).default({}),
});

/** A bound on one figure of the report; `max` and `min` are inclusive. */
const goalSchema = z
  .strictObject({
    /** Path in the JSON document, e.g. `flows.broken`; a per-service figure is judged by its worst service. */
    figure: z.string().min(1),
    max: z.number().optional(),
    min: z.number().optional(),
  })
  .refine((goal) => goal.max !== undefined || goal.min !== undefined, 'give max or min');

/** The scenario document. */
export const scenarioSchema = z
  .strictObject({
    name: z.string().regex(/^[a-z0-9-]+$/, 'use lower-case letters, digits and hyphens'),
    description: z.string().min(1),
    /** Example settings tree: `isartal` or `enchufe`. */
    tree: z.enum(['isartal', 'enchufe']).default('isartal'),
    durationSeconds: z.number().positive().max(3_600),
    topology: topologySchema.prefault({}),
    fabric: fabricSchema.prefault({}),
    load: z.array(loadSchema).min(1),
    actions: z.array(actionSchema).default([]),
    goals: z.array(goalSchema).default([]),
  })
  .superRefine((scenario, context) => {
    for (const [index, action] of scenario.actions.entries()) {
      if (action.at <= scenario.durationSeconds) continue;
      context.addIssue({
        code: 'custom',
        path: ['actions', index, 'at'],
        message: `lies after the end of the run (${scenario.durationSeconds} s)`,
      });
    }
  });

export type Scenario = z.infer<typeof scenarioSchema>;
export type LoadSettings = z.infer<typeof loadSchema>;
export type GoalSettings = z.infer<typeof goalSchema>;

/** One fault of a scenario document. */
interface ScenarioFault {
  /** Path of the field, e.g. `actions.0.at`. */
  readonly path: string;
  readonly message: string;
}

/** Outcome of checking a document. */
type ScenarioCheck =
  | { readonly valid: true; readonly scenario: Scenario }
  | { readonly valid: false; readonly faults: readonly ScenarioFault[] };

/** Checks a parsed document and lists every fault at once. */
export function checkScenario(document: unknown): ScenarioCheck {
  const parsed = scenarioSchema.safeParse(document);
  if (parsed.success) return { valid: true, scenario: parsed.data };
  const faults = parsed.error.issues.map((issue) => ({ path: issue.path.join('.'), message: issue.message }));
  return { valid: false, faults };
}
