/** Runs a case: exit code 1 if its rule was broken, 0 if it held, 2 if the case could not run. */
import { fileURLToPath } from 'node:url';
import { Deployment } from './deployment.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
/** A case that takes longer counts as one that could not run. */
const LIMIT_MS = 110000;
const EXIT_COULD_NOT_RUN = 2;

/** False with TROUBLE=0: the case does the same without the disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/**
 * Runs `play`, which resolves to true if the rule was broken, and writes the record beside the module with `url`. Ends
 * all processes in every case.
 */
export async function runCase(url, play) {
  const deployment = new Deployment(ROOT);
  const { record } = deployment;
  const finish = async (code) => {
    await deployment.close();
    record.write(fileURLToPath(new URL('record.txt', url)));
    console.log(`exit code ${code}`);
    process.exit(code);
  };
  const giveUp = (reason) => {
    record.note(`could not run: ${reason}`);
    void finish(EXIT_COULD_NOT_RUN);
  };
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => giveUp(signal));
  setTimeout(() => giveUp(`it took longer than ${LIMIT_MS} ms`), LIMIT_MS).unref();
  try {
    const isBroken = await play(deployment);
    await finish(isBroken ? 1 : 0);
  } catch (error) {
    giveUp(error.stack);
  }
}
