/**
 * Estimates which share of the fleet can be reached, from the answers to pulls. The peers of a round of pulls are
 * chosen at random, so the share of them that answers estimates the share of all daemons. `PeerView` cannot tell: it
 * remembers a peer for seconds after its last message.
 */
import { PULL_ANSWER_TIMEOUT_MS, PULL_SAMPLE_MS } from './constants.js';

interface Pull {
  readonly peer: string;
  readonly sentAtMs: number;
  isAnswered: boolean;
}

/** Recent pulls of one daemon from random peers. Times are monotonic ms; a peer is named by its `host:port`. */
export class PullAnswers {
  private pulls: Pull[] = [];

  /** Records a pull from a peer that was chosen at random. */
  recordPull(peer: string, nowMs: number): void {
    this.pulls = this.pulls.filter(({ sentAtMs }) => nowMs - sentAtMs < PULL_SAMPLE_MS);
    this.pulls.push({ peer, sentAtMs: nowMs, isAnswered: false });
  }

  /** Records a message from a peer; it answers the pulls from it. */
  recordMessage(peer: string): void {
    for (const pull of this.pulls) if (pull.peer === peer) pull.isAnswered = true;
  }

  /** Returns the share of recent pulls that were answered, 0 to 1. Without any, returns 1: nothing is known. */
  answeredShare(nowMs: number): number {
    const recent = this.pulls.filter(({ sentAtMs }) => nowMs - sentAtMs < PULL_SAMPLE_MS);
    const answered = recent.filter(({ isAnswered }) => isAnswered).length;
    const unanswered = recent.filter(
      ({ isAnswered, sentAtMs }) => !isAnswered && nowMs - sentAtMs >= PULL_ANSWER_TIMEOUT_MS,
    ).length;
    return answered + unanswered === 0 ? 1 : answered / (answered + unanswered);
  }
}
