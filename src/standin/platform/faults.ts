/** Faults that can be switched on in the stand-in platform. */
import { z } from 'zod';
import type { RandomSource } from '../../common/random.js';

/** Body of `PUT /faults`; a fault that is left out is switched off. */
export const FAULT_SETTINGS = z.strictObject({
  /** Every connection is cut without an answer, and nothing is processed. */
  down: z.boolean().default(false),
  /** Each request waits this long before it is processed. */
  slowMs: z.number().min(0).default(0),
  /** After a write, the connection is cut without an answer: the next `count` times, or with a probability. */
  lostAnswerAfterWrite: z
    .strictObject({
      count: z.number().int().min(0).default(0),
      probability: z.number().min(0).max(1).default(0),
    })
    .default({ count: 0, probability: 0 }),
  /** Watches stay open but say nothing, not even heartbeats. */
  watchStall: z.boolean().default(false),
});

export type FaultSettings = z.output<typeof FAULT_SETTINGS>;

/** The faults in force. */
export class FaultState {
  settings: FaultSettings = FAULT_SETTINGS.parse({});
  private lostAnswersLeft = 0;

  constructor(private readonly random: RandomSource) {}

  set(settings: FaultSettings): void {
    this.settings = settings;
    this.lostAnswersLeft = settings.lostAnswerAfterWrite.count;
  }

  /** True when the answer to the write just made must be lost. */
  losesAnswer(): boolean {
    if (this.lostAnswersLeft > 0) {
      this.lostAnswersLeft -= 1;
      return true;
    }
    const { probability } = this.settings.lostAnswerAfterWrite;
    return probability > 0 && this.random() < probability;
  }
}
