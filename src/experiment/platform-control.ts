/** Faults and lease holders of the platform stand-in. */
import type { Endpoint } from '../common/types.js';
import type { ControlClient } from './http-control.js';
import type { PlatformFaults } from './scenario-actions.js';

export class PlatformControl {
  private faults: PlatformFaults = {};

  constructor(
    private readonly client: ControlClient,
    readonly endpoint: Endpoint,
  ) {}

  /** Changes the faults given; the others stay. */
  async setFaults(faults: PlatformFaults): Promise<void> {
    this.faults = { ...this.faults, ...faults };
    const { loseWriteAnswers, ...rest } = this.faults;
    const lost = loseWriteAnswers === undefined ? {} : { lostAnswerAfterWrite: { count: loseWriteAnswers } };
    await this.client.put(this.endpoint, '/faults', { ...rest, ...lost });
    // A count is used up by the platform itself: sending it again would start it anew.
    this.faults = rest;
  }

  async clearFaults(): Promise<void> {
    this.faults = {};
    await this.client.put(this.endpoint, '/faults', {});
  }

  /** Names of the holders of live leases. */
  async leaseHolders(): Promise<readonly string[]> {
    const counters = (await this.client.get(this.endpoint, '/counters')) as {
      leases: Record<string, string>;
    };
    return [...new Set(Object.values(counters.leases))];
  }
}
