/** The timed actions of a scenario: planned changes and faults. */
import { z } from 'zod';

const at = z.number().nonnegative();
const forSeconds = z.number().positive().optional();
/**
 * A balancer by name (ZONE-1), `random` (drawn from the seed), `leaseholder`, or `zone:NAME` (the first one of a
 * zone).
 */
const balancer = z.string().min(1);
/** A back end by the last part of its node path, as `main-04` (fourth of the main service), or `random`. */
const backend = z.string().min(1);

/** One operation of a tree edit; `node` is relative to the site, e.g. `pickguide/pick-01`. */
const treeOperationSchema = z.strictObject({
  node: z.string(),
  field: z.string().min(1),
  /** Absent: the override is removed and the inherited value holds. */
  value: z.unknown().optional(),
});

/** Faults of one back-end stand-in; what is left out stays as it was. */
const backendFaultsSchema = z.strictObject({
  /** Health says the opposite of the truth. */
  healthLies: z.boolean().optional(),
  /** Load says that nothing is open. */
  loadLies: z.boolean().optional(),
  /** Load says how it was this long ago, ms. */
  loadLagMs: z.number().nonnegative().optional(),
  /** Packets vanish; health and load still answer. */
  blackhole: z.boolean().optional(),
  /** Each opening is answered with a reset. */
  refuseOpenings: z.boolean().optional(),
  /** Multiplies service times. */
  slowFactor: z.number().positive().optional(),
});

/** Faults of the platform stand-in; what is left out stays as it was. */
const platformFaultsSchema = z.strictObject({
  down: z.boolean().optional(),
  /** Each request waits this long. */
  slowMs: z.number().nonnegative().optional(),
  /** The answers to this many next writes are lost after they took effect. */
  loseWriteAnswers: z.number().int().nonnegative().optional(),
  /** Watches stay open but say nothing. */
  watchStall: z.boolean().optional(),
});

/** Names of the faults that a random pair is drawn from. */
export const PAIR_FAULTS = [
  'balancer-crash',
  'balancer-pause',
  'balancer-leave',
  'balancer-join',
  'backend-drain',
  'platform-down',
  'zone-partition',
  'tree-edit',
] as const;

export type PairFault = (typeof PAIR_FAULTS)[number];

export const actionSchema = z.discriminatedUnion('do', [
  z.strictObject({ do: z.literal('balancer-join'), at, zone: z.string().min(1) }),
  z.strictObject({ do: z.literal('balancer-leave'), at, balancer }),
  z.strictObject({ do: z.literal('balancer-crash'), at, balancer }),
  z.strictObject({ do: z.literal('balancer-pause'), at, balancer, forSeconds }),
  z.strictObject({ do: z.literal('balancer-resume'), at, balancer }),
  z.strictObject({ do: z.literal('balancer-restart'), at, balancer }),
  z.strictObject({ do: z.literal('balancer-replace'), at, balancer }),
  z.strictObject({ do: z.literal('balancer-replace-all'), at }),
  z.strictObject({
    do: z.literal('tree-edit'),
    at,
    operator: z.string().min(1).default('operator'),
    operations: z.array(treeOperationSchema).min(1),
    /** Repeats the edit this often, `everySeconds` apart; numbers in `value` are raised by one each time. */
    repeat: z.number().int().positive().default(1),
    everySeconds: z.number().positive().default(0.5),
  }),
  z.strictObject({ do: z.literal('backend-drain'), at, backend }),
  z.strictObject({ do: z.literal('backend-undrain'), at, backend }),
  z.strictObject({ do: z.literal('backend-add'), at, backend }),
  z.strictObject({ do: z.literal('backend-remove'), at, backend }),
  z.strictObject({ do: z.literal('backend-crash'), at, backend }),
  z.strictObject({ do: z.literal('backend-restart'), at, backend }),
  z.strictObject({ do: z.literal('backend-faults'), at, backend, faults: backendFaultsSchema, forSeconds }),
  z.strictObject({ do: z.literal('platform-faults'), at, faults: platformFaultsSchema, forSeconds }),
  z.strictObject({
    do: z.literal('zone-partition'),
    at,
    zone: z.string().min(1),
    forSeconds: z.number().positive(),
  }),
  z.strictObject({
    do: z.literal('random-pair'),
    at,
    /** Faults to draw from. */
    among: z
      .array(z.enum(PAIR_FAULTS))
      .min(2)
      .default([...PAIR_FAULTS]),
    /** Second fault follows the first within this time. */
    withinSeconds: z.number().nonnegative().default(2),
    forSeconds: z.number().positive().default(4),
  }),
]);

export type Action = z.infer<typeof actionSchema>;
type ActionName = Action['do'];
export type TreeOperation = z.infer<typeof treeOperationSchema>;
export type BackendFaults = z.infer<typeof backendFaultsSchema>;
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

const UNPLANNED: ReadonlySet<ActionName> = new Set<ActionName>([
  'balancer-crash',
  'balancer-pause',
  'backend-crash',
  'backend-restart',
  'backend-faults',
  'zone-partition',
]);

/** True for an action that may break flows through no fault of the product: a crash, a pause, a partition. */
export function isUnplanned(name: ActionName): boolean {
  return UNPLANNED.has(name);
}
