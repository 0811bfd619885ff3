#!/usr/bin/env node
/** Entry of the command line: runs the command and sets the exit code. */
import { run } from './program.js';

process.exitCode = await run(process.argv.slice(2));
