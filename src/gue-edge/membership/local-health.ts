/**
 * Score of this process's own health: signs that it is slow stretch its probe times, so that it accuses less.
 *
 * Owns the score. Relies on the prober for good and bad signs.
 */
import { MAX_BLIND_HEALTH_SCORE, MAX_HEALTH_SCORE } from './constants.js';

/** 0 is well, MAX_HEALTH_SCORE the worst. Source: Lifeguard (Dadgar, Phillips, Currey 2018). */
export class LocalHealth {
  private points = 0;

  get score(): number {
    return this.points;
  }

  /** Factor on probe intervals and timeouts. */
  get stretch(): number {
    return this.points + 1;
  }

  /** A sign that this process is slow: a late timer, or a suspicion of it that it had to refute. */
  worsen(): void {
    this.points = Math.min(MAX_HEALTH_SCORE, this.points + 1);
  }

  /**
   * A probe without a sign of life from the target or any helper: this process may be slow or cut off. The score rises
   * to MAX_BLIND_HEALTH_SCORE at most, because a member that is cut off must notice it soon.
   */
  worsenBlind(): void {
    if (this.points < MAX_BLIND_HEALTH_SCORE) this.points += 1;
  }

  /** A probe that was answered in time. */
  improve(): void {
    this.points = Math.max(0, this.points - 1);
  }
}
