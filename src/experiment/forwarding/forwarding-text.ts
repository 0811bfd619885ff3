/** The report of the forwarding experiment as text. */
import type { ForwardingReport, PathFigures } from './types.js';

function pathLine(name: string, figures: PathFigures): string {
  const cores = figures.busiestProcessCores?.toFixed(2) ?? 'unknown';
  const perCore = figures.packetsPerCoreSecond?.toLocaleString('en') ?? 'unknown';
  const rate = figures.packetsPerSecond.toLocaleString('en');
  const { p50Ms, p99Ms } = figures.latency;
  return `${name.padEnd(22)} ${rate.padStart(9)} packets/s  p50 ${p50Ms} ms  p99 ${p99Ms} ms  cores ${cores}  ${perCore} a core second`;
}

/** Lines for a terminal. */
export function forwardingText({ forwarding }: ForwardingReport): string {
  const lines = [
    pathLine('bare dgram relay', forwarding.bareRelay),
    pathLine('keeper', forwarding.keeper),
    pathLine('relay and keeper', forwarding.relay),
    `keeper ratio ${forwarding.keeperRatio}, relay ratio ${forwarding.relayRatio}`,
    `by core seconds: keeper ratio ${forwarding.keeperRatioPerCoreSecond ?? 'unknown'}, ` +
      `relay ratio ${forwarding.relayRatioPerCoreSecond ?? 'unknown'}`,
    ...forwarding.daemons.map(
      ({ daemons, packetsPerSecond, speedup }) =>
        `${daemons} daemon(s): ${packetsPerSecond.toLocaleString('en')} packets/s, ${speedup} times one`,
    ),
    `${forwarding.rounds} rounds of ${forwarding.secondsPerRound} s, ${forwarding.packetBytes} bytes a packet, ` +
      `${forwarding.offeredPacketsPerSecond} packets/s offered; latency at ${forwarding.latencyPacketsPerSecond}`,
  ];
  return `${lines.join('\n')}\n`;
}
