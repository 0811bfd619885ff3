/** Writes docs/EVENTS.md from the events that the slices declare. Run with `npx tsx tools/generate-events.mjs`. */
import { writeFileSync } from 'node:fs';
import { checkEvents, collectEvents, renderCatalogue } from '../src/observability/event-catalogue.ts';

const entries = await collectEvents('src');
checkEvents(entries);
writeFileSync('docs/EVENTS.md', renderCatalogue(entries));
