/**
 * A zone of the model that is cut off. Each side removes the other from its view, one node after the other, and the
 * cut-off side loses its quorum. Callers and back ends still reach both sides.
 */
import type { MemberState } from '../../membership/types.js';
import type { ModelNode } from './model-node.js';
import { GONE_AFTER_MS, SUSPECT_AFTER_MS, type ModelWorld } from './model-world.js';

/** Least time until a node learns that the cut is healed. */
const REJOIN_AFTER_MS = 100;

/** One cut and its effect on the views. */
export class ModelPartition {
  readonly inside: readonly ModelNode[];
  readonly outside: readonly ModelNode[];

  constructor(
    private readonly cluster: ModelWorld,
    zone: string,
  ) {
    this.inside = cluster.liveNodes().filter((node) => node.parts.zone === zone);
    this.outside = cluster.liveNodes().filter((node) => node.parts.zone !== zone);
  }

  /** True when the nodes outside the zone keep their quorum. */
  leavesMajority(): boolean {
    return this.inside.length > 0 && this.inside.length < this.outside.length;
  }

  separates(left: ModelNode, right: ModelNode): boolean {
    return this.inside.includes(left) !== this.inside.includes(right);
  }

  ids(nodes: readonly ModelNode[]): string[] {
    return nodes.map((node) => node.id);
  }

  begin(): void {
    this.spreadAcross('suspect', SUSPECT_AFTER_MS);
    this.spread(this.outside, this.inside, 'gone', GONE_AFTER_MS);
    // The others take over before the cut-off side has lost its quorum, which it does before it removes anyone.
    this.spread(this.inside, this.outside, 'gone', GONE_AFTER_MS + this.cluster.options.spreadMs);
    const unnoticedMs = GONE_AFTER_MS + this.cluster.options.spreadMs;
    for (const node of this.inside) this.cluster.later(unnoticedMs, () => node.setQuorate(false));
  }

  heal(): void {
    this.spreadAcross('active', REJOIN_AFTER_MS);
    for (const node of this.inside)
      this.cluster.later(this.delay(REJOIN_AFTER_MS), () => node.setQuorate(true));
  }

  private spreadAcross(state: MemberState, afterMs: number): void {
    this.spread(this.inside, this.outside, state, afterMs);
    this.spread(this.outside, this.inside, state, afterMs);
  }

  private spread(
    observers: readonly ModelNode[],
    nodes: readonly ModelNode[],
    state: MemberState,
    afterMs: number,
  ): void {
    for (const observer of observers) for (const node of nodes) this.learn(observer, node, state, afterMs);
  }

  private learn(observer: ModelNode, node: ModelNode, state: MemberState, afterMs: number): void {
    this.cluster.later(this.delay(afterMs), () => {
      if (state !== 'active' || node.alive) observer.believe(node.member, state);
    });
  }

  private delay(afterMs: number): number {
    return afterMs + this.cluster.random() * this.cluster.options.spreadMs;
  }
}
