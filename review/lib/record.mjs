/** The record of a run: what was sent, answered and run, with ms since the start. */
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

export class Record {
  lines = [];
  startedAtMs = performance.now();

  /** Ms since the start. */
  get nowMs() {
    return Math.round(performance.now() - this.startedAtMs);
  }

  note(text) {
    this.lines.push(`${String(this.nowMs).padStart(7)} ms  ${text}`);
  }

  write(path) {
    writeFileSync(path, `${this.lines.join('\n')}\n`);
  }
}

/** Resolves after `ms`. */
export function delay(ms) {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}

/** Resolves once `condition` returns true; rejects after `limitMs`. */
export async function until(condition, limitMs, what) {
  const endMs = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > endMs) throw new Error(`waited ${limitMs} ms in vain until ${what}`);
    await delay(5);
  }
}
