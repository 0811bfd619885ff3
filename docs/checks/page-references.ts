/**
 * Finds what the pages claim about the code: links, paths, event numbers, metrics and commands. Owns no state;
 * reads the Markdown files below a folder.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

/** Folders of pages that record what was true on their date; only their links are checked. */
const RECORDS = /(^|\/)(records|design|incidents)\//;

/** A page with its text. */
export interface Page {
  /** Path from the folder that was searched, with `/` between its parts. */
  readonly name: string;
  readonly text: string;
  /** True for a dated record, whose paths and numbers may be of their day. */
  readonly isRecord: boolean;
}

/** Reads all Markdown files below `directory`, sorted by name. */
export function readPages(directory: string): Page[] {
  const names = readdirSync(directory, { recursive: true, encoding: 'utf8' });
  return names
    .filter((name) => name.endsWith('.md'))
    .sort()
    .map((name) => ({
      name,
      text: readFileSync(join(directory, name), 'utf8'),
      isRecord: RECORDS.test(name),
    }));
}

/** Targets of relative links, without their anchors. */
export function findLinks({ text }: Page): string[] {
  return matches(text, /\]\(([^)\s]+)\)/g)
    .filter((target) => !/^(https?:|#|mailto:)/.test(target))
    .map((target) => target.replace(/#.*$/, ''));
}

/** Paths from the repository's root in backticks; those with placeholders or wildcards are left out. */
export function findPaths({ text }: Page): string[] {
  return matches(text, /`((?:src|platform|tools|docs|deploy|scenarios|examples|contract)\/[^`\s]*)`/g).filter(
    (path) => !/[*<>{}…]|NAME|FILE/.test(path),
  );
}

/** Numbers of log events: after the word event, or as log lines print them (`SQ1250`). */
export function findEventNumbers({ text }: Page): number[] {
  const lists = matches(text, /\bevents?\s+((?:\d{4})(?:(?:,| and| to| or)\s+\d{4})*)/gi);
  const printed = matches(text, /\bSQ(\d{4})\b/g);
  return [...lists.flatMap((list) => matches(list, /(\d{4})/g)), ...printed].map(Number);
}

/** Names of metrics, with the endings that a histogram adds taken off. */
export function findMetrics({ text }: Page): string[] {
  return matches(text, /\b(sailquay_[a-z_]+[a-z])\b(?!\*)/g);
}

/** Commands of the command line as lists of words, from code in the text: `sailquay tree set` gives tree, set. */
export function findCommands({ text }: Page): string[][] {
  const blocks = matches(text, /^```\w*\n([\s\S]*?)^```/gm).join('\n');
  const lines = matches(blocks, /^(?:\$ )?sailquay ([a-z][a-z -]*)/gm);
  return [...lines, ...matches(text, /`sailquay ([a-z][a-z -]*)/g)].map((words) => words.trim().split(/\s+/));
}

/** Names of the own days (`deploy/days`) that the page gives as proof. */
export function findOwnDays({ text }: Page): string[] {
  return matches(text, /\bown days? ([a-z-]+(?:, [a-z]+-[a-z-]+)*)/g).flatMap((names) => names.split(', '));
}

/** Names of npm scripts that the page tells the reader to run. */
export function findScripts({ text }: Page): string[] {
  return matches(text, /\bnpm run (?:--silent )?([a-z:-]+)/g);
}

function matches(text: string, pattern: RegExp): string[] {
  return [...text.matchAll(pattern)].map((match) => match[1] as string);
}
