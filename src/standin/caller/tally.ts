/** What the flows of a caller process count. */
import { LatencyRecorder } from './latency.js';
import type { BrokenFlow, CallerReport, FlowCounts, RequestCounts } from './types.js';

/** Broken flows of a process that are described; the counts are complete. Bounds a report's size. */
const BROKEN_FLOWS_KEPT = 100;

type Mutable<T> = { -readonly [Key in keyof T]: T[Key] };

function emptyFlowCounts(): Mutable<FlowCounts> {
  return { attempted: 0, opened: 0, refused: 0, openTimeouts: 0, broken: 0, closed: 0, open: 0 };
}

/** Counters shared by all flows of a process. */
export class Tally {
  readonly requests: Mutable<RequestCounts> = {
    sent: 0,
    answered: 0,
    retried: 0,
    notRun: 0,
    unknown: 0,
    foreignOrPartial: 0,
  };
  readonly requestLatency = new LatencyRecorder();
  readonly openingLatency = new LatencyRecorder();
  private readonly byService = new Map<string, Mutable<FlowCounts>>();
  private readonly brokenFlows: BrokenFlow[] = [];
  private readonly notRunIds: string[] = [];

  /** Counts one flow event of a service. */
  countFlow(service: string, event: Exclude<keyof FlowCounts, 'open'>): void {
    this.flowsOf(service)[event] += 1;
  }

  /** Notes that one flow more (+1) or less (-1) is open. */
  changeOpen(service: string, difference: 1 | -1): void {
    this.flowsOf(service).open += difference;
  }

  recordBroken(flow: BrokenFlow): void {
    this.countFlow(flow.service, 'broken');
    if (this.brokenFlows.length < BROKEN_FLOWS_KEPT) this.brokenFlows.push(flow);
  }

  recordNotRun(id: string): void {
    this.requests.notRun += 1;
    this.notRunIds.push(id);
  }

  report(stopped: boolean): CallerReport {
    const flows = emptyFlowCounts();
    for (const counts of this.byService.values()) {
      for (const key of Object.keys(flows) as (keyof FlowCounts)[]) flows[key] += counts[key];
    }
    return {
      flows,
      flowsByService: Object.fromEntries(this.byService),
      requests: this.requests,
      requestLatency: this.requestLatency.summary(),
      openingLatency: this.openingLatency.summary(),
      brokenFlows: this.brokenFlows,
      notRunIds: this.notRunIds,
      stopped,
    };
  }

  private flowsOf(service: string): Mutable<FlowCounts> {
    const counts = this.byService.get(service) ?? emptyFlowCounts();
    this.byService.set(service, counts);
    return counts;
  }
}
