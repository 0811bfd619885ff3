/** Score of this process's own health: signs that it is slow stretch its probe times, so that it accuses less. */
import { MAX_HEALTH_SCORE } from './constants.js';

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

  /** A sign of slowness here: a refuted suspicion, a missing negative acknowledgement, a late timer. */
  worsen(points = 1): void {
    this.points = Math.min(MAX_HEALTH_SCORE, this.points + points);
  }

  /** A probe that was answered in time. */
  improve(): void {
    this.points = Math.max(0, this.points - 1);
  }
}
