/** Waits to a wall time that the end of a run cuts short. */

/** Resolves at `wallMs` (ms since the epoch), or when `signal` aborts. */
export async function sleepUntil(wallMs: number, signal: AbortSignal): Promise<void> {
  const delayMs = wallMs - Date.now();
  if (delayMs <= 0 || signal.aborted) return;
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, delayMs);
    signal.addEventListener('abort', finish);
  });
}
