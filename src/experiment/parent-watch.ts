/**
 * Loaded into each process of a run with `--import`: ends the process when its standard input closes, that is when
 * the experiment tool has ended.
 */
process.stdin.on('end', () => process.exit(1));
process.stdin.on('error', () => process.exit(1));
process.stdin.resume();
(process.stdin as unknown as { unref?: () => void }).unref?.();
