/**
 * Reads KNOWN-RED.txt and decides whether a failed test is one of its entries. Does no input or output.
 *
 * An entry is a line `title; command and seed; what was seen; issue`. The first text in double quotes after the command
 * is the failure: an entry excuses a test only if the test's report contains it, so that it hides no other failure. An
 * entry without such a text excuses nothing; it lists a failure that CI does not run into.
 */

/** Returns the entries of the file's text, each with the title of its test and the text of its failure. */
export function parseKnownFailures(text) {
  return text
    .split('\n')
    .filter((line) => line.trim() && !line.startsWith('#'))
    .map((line) => {
      const [title, , ...seen] = line.split(';');
      return { title: title.trim(), failure: /"([^"]+)"/.exec(seen.join(';'))?.[1] };
    });
}

/** Returns whether the test `title`, which failed with `report`, is listed with this failure. */
export function isKnownFailure(entries, title, report) {
  return entries.some(
    (entry) =>
      entry.failure !== undefined &&
      (title === entry.title || title.endsWith(` › ${entry.title}`)) &&
      report.includes(entry.failure),
  );
}
