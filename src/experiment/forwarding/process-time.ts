/** Processor time of a process, from /proc (Linux). */
import { readFileSync } from 'node:fs';

/** USER_HZ of Linux: clock ticks a second in /proc. */
const TICKS_PER_SECOND = 100;
/** Fields 14 and 15 of /proc/PID/stat, counted after the name. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Seconds of user and system time that the process has used; undefined where /proc doesn't tell. */
export function processSeconds(pid: number): number | undefined {
  try {
    const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) / TICKS_PER_SECOND;
  } catch {
    // The process has ended, or this system has no /proc; the report then shows no time for it.
    return undefined;
  }
}
