/** Replaces the generated parts of a Markdown page, each between two marker comments. */
import { ExperimentError } from '../errors.js';

/** The page with every section's text between its markers. Throws when a marker is missing. */
export function replaceSections(page: string, sections: Readonly<Record<string, string>>): string {
  return Object.entries(sections).reduce(
    (text, [name, content]) => replaceSection(text, name, content),
    page,
  );
}

function replaceSection(page: string, name: string, content: string): string {
  const [opening, closing] = [`<!-- capacity:${name} -->`, `<!-- /capacity:${name} -->`];
  const start = page.indexOf(opening);
  const end = page.indexOf(closing);
  if (start < 0 || end < start) {
    throw new ExperimentError(
      'experiment.invalid-document',
      `the page has no section "${name}"`,
      `Add the lines ${opening} and ${closing}`,
    );
  }
  return `${page.slice(0, start + opening.length)}\n\n${content.trim()}\n\n${page.slice(end)}`;
}
