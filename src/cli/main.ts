#!/usr/bin/env node
/**
 * Entry of the command line `sailquay`: runs the command and sets the exit code.
 *
 * This folder owns the commands, their options, outputs and exit codes (exit-codes.ts); program.ts lists the
 * commands and loads each one's module when it is used. It relies on the public surfaces of the other folders of
 * src/; none of them relies on it, so that it has no index.ts.
 */
import { run } from './program.js';

process.exitCode = await run(process.argv.slice(2));
