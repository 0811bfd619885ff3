/**
 * A scenario: topology, load, timed actions and goals of one experiment, read from YAML. Times are seconds from the
 * start of the load unless the name says otherwise. Every unknown field is an error.
 */
import { z } from 'zod';
import { actionSchema } from './scenario-actions.js';

const share = z.number().min(0).max(1);
const positiveInteger = z.number().int().positive();

/** Load on one service. Each caller process carries an equal part of flows and openings. */
export const loadSchema = z.strictObject({
  /** Name of the service node below the site, e.g. `pickguide`. */
  service: z.string().min(1),
  /** Caller processes. */
  callers: positiveInteger.max(8).default(1),
  /** Flows held open at once by all callers together. */
  flows: positiveInteger.max(100_000),
  /** Openings a second while fewer flows are open than wanted. */
  openingsPerSecond: z.number().positive().max(50_000),
  /** Mean time between two requests of a flow, ms. */
  requestIntervalMs: z.number().positive().default(1_000),
  /** Mean lifetime of a flow, seconds; absent: flows stay open for the whole run. */
  lifetimeSeconds: z.number().positive().optional(),
  /** Share of requests that must not run twice. */
  unrepeatableShare: share.default(0.3),
  /** Mean service time of a request at the back end, ms. */
  serviceTimeMs: z.number().nonnegative().default(5),
});

/** What the network between fabric and balancers does to packets. */
export const fabricSchema = z.strictObject({
  loss: share.default(0),
  reorder: share.default(0),
  duplicate: share.default(0),
  /** One-way delay, ms. */
  delayMs: z.number().nonnegative().default(0),
});

/** Which processes are started. */
export const topologySchema = z.strictObject({
  /** Balancers in each zone of the tree. */
  balancersPerZone: positiveInteger.max(16).default(1),
  /** Back ends left out at the start, by node name; `backend-add` starts them later. */
  spareBackends: z.array(z.string().min(1)).default([]),
});

/** A bound on one figure of the report; `max` and `min` are inclusive. */
export const goalSchema = z
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
export type FabricSettings = z.infer<typeof fabricSchema>;
export type GoalSettings = z.infer<typeof goalSchema>;

/** One fault of a scenario document. */
export interface ScenarioFault {
  /** Path of the field, e.g. `actions.0.at`. */
  readonly path: string;
  readonly message: string;
}

/** Outcome of checking a document. */
export type ScenarioCheck =
  | { readonly valid: true; readonly scenario: Scenario }
  | { readonly valid: false; readonly faults: readonly ScenarioFault[] };

/** Checks a parsed document and lists every fault at once. */
export function checkScenario(document: unknown): ScenarioCheck {
  const parsed = scenarioSchema.safeParse(document);
  if (parsed.success) return { valid: true, scenario: parsed.data };
  const faults = parsed.error.issues.map((issue) => ({ path: issue.path.join('.'), message: issue.message }));
  return { valid: false, faults };
}
