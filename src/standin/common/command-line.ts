/** Option parsing and life cycle shared by the stand-ins' commands. */
import { readFileSync } from 'node:fs';
import { InvalidArgumentError, type Command } from 'commander';
import { z } from 'zod';
import type { Endpoint } from '../../common/types.js';

/** Reads a finite number that is not negative. */
export function parseNumber(text: string): number {
  const value = Number(text);
  if (text.trim() === '' || !Number.isFinite(value) || value < 0) {
    throw new InvalidArgumentError('Give a number that is not negative.');
  }
  return value;
}

const MAX_PORT = 65_535;

/** Reads `host:port`; the port may be 0. */
export function parseEndpoint(text: string): Endpoint {
  const match = /^(\d+\.\d+\.\d+\.\d+):(\d+)$/.exec(text);
  const port = Number(match?.[2]);
  if (!match?.[1] || port > MAX_PORT)
    throw new InvalidArgumentError('Give ADDRESS:PORT, e.g. 127.0.0.1:7001.');
  return { host: match[1], port };
}

/** Schema of an address in JSON; the port may be 0. */
export const endpointSchema = z.object({ host: z.ipv4(), port: z.int().min(0).max(65_535) });

/** A parser of JSON (the text itself, or the file named after an `@`) that fits `schema`. */
export function jsonParser<T>(schema: z.ZodType<T>): (text: string) => T {
  return (text) => {
    const result = schema.safeParse(parseJson(text));
    if (result.success) return result.data;
    throw new InvalidArgumentError(z.prettifyError(result.error));
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text.startsWith('@') ? readFileSync(text.slice(1), 'utf8') : text);
  } catch (error) {
    throw new InvalidArgumentError(`Give JSON or @FILE (${error instanceof Error ? error.message : error}).`);
  }
}

/** The `standin` group of `program`, added when it isn't there yet. */
export function standinGroup(program: Command): Command {
  const existing = program.commands.find((command) => command.name() === 'standin');
  return (
    existing ?? program.command('standin').description('Small substitutes for the platform around sailquay')
  );
}

/** Prints the ready line, then waits for SIGINT or SIGTERM and closes. */
export async function runUntilSignal(ready: object, close: () => Promise<void>): Promise<void> {
  process.stdout.write(`${JSON.stringify({ ready: true, ...ready })}\n`);
  await new Promise<void>((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
  await close();
}
