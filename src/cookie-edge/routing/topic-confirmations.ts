/**
 * Up to which position of the source's history each topic is known, when the source last had nothing newer, and who
 * said so. `RoutingKnowledge` decides what confirms a topic; this class keeps the result and never moves it back.
 */
import { compareEpochs, type SourcePosition } from './source-epoch.js';
import type { ConfirmationOrigin, RoutingTopic, TopicConfirmation } from './types.js';

export const UNKNOWN_REVISION = -1;

const NEVER_CONFIRMED: TopicConfirmation = {
  revision: UNKNOWN_REVISION,
  changedRevision: UNKNOWN_REVISION,
  confirmedAtMs: Number.NEGATIVE_INFINITY,
};

/** Confirmations of all topics of one daemon. Times are monotonic ms. */
export class TopicConfirmations {
  private readonly confirmations: Record<RoutingTopic, TopicConfirmation> = {
    routes: NEVER_CONFIRMED,
    backends: NEVER_CONFIRMED,
    cordons: NEVER_CONFIRMED,
  };
  private readonly origins: Partial<Record<RoutingTopic, ConfirmationOrigin>> = {};

  /** Returns the confirmation of a topic, as it is gossiped. */
  of(topic: RoutingTopic): TopicConfirmation {
    return this.confirmations[topic];
  }

  /** Returns who confirmed a topic last; undefined before the first confirmation. */
  originOf(topic: RoutingTopic): ConfirmationOrigin | undefined {
    return this.origins[topic];
  }

  /** Stores a confirmation, unless its revision is older than the stored one. */
  advance(topic: RoutingTopic, confirmation: TopicConfirmation, origin: ConfirmationOrigin): void {
    const known = this.confirmations[topic];
    if (confirmation.revision < known.revision) return;
    if (confirmation.confirmedAtMs > known.confirmedAtMs) this.origins[topic] = origin;
    this.confirmations[topic] = {
      epoch: confirmation.epoch,
      revision: confirmation.revision,
      changedRevision: Math.max(known.changedRevision, confirmation.changedRevision),
      confirmedAtMs: Math.max(known.confirmedAtMs, confirmation.confirmedAtMs),
    };
  }

  /**
   * Confirms those of `topics` that are known up to `position`, because all topics share one revision counter. A topic
   * of an earlier epoch is not confirmed, because the restore may have changed it.
   */
  confirmUpTo(
    topics: readonly RoutingTopic[],
    position: SourcePosition,
    confirmedAtMs: number,
    origin: ConfirmationOrigin,
  ): void {
    for (const topic of topics) {
      const known = this.confirmations[topic];
      const isCurrent = compareEpochs(known, position) === 'same' && known.revision >= position.revision;
      if (isCurrent) this.advance(topic, { ...known, confirmedAtMs }, origin);
    }
  }

  /** Forgets the confirmation of a topic, because the source's history began anew with `epoch`. */
  beginEpoch(topic: RoutingTopic, epoch: number | undefined): void {
    this.confirmations[topic] = { ...NEVER_CONFIRMED, epoch };
  }
}
