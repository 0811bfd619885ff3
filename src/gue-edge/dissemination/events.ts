/** Log events of the spreading of settings. */
import { defineEvents } from '../../observability/event.js';

export const DISSEMINATION_EVENTS = defineEvents({
  settingsApplied: {
    number: 1500,
    level: 'info',
    message: 'A version of the settings tree is in force',
    action: 'none',
  },
  treeRejected: {
    number: 1501,
    level: 'error',
    message:
      'A version of the settings tree has faults and was not applied; the last good one stays in force',
    action: 'Mend the tree; the fields of the event name the first fault.',
  },
  digestMismatch: {
    number: 1502,
    level: 'warn',
    message: 'A tree that arrived does not match its digest and was dropped; it is fetched again',
    action: 'None if rare; else check the memory of the machine named in the event.',
  },
  treesDiverged: {
    number: 1503,
    level: 'error',
    message: 'Two trees of the same version differ; the one read under the newer lease wins everywhere',
    action: 'Check that all balancers run the same release; report it if they do.',
  },
  treeCorrupted: {
    number: 1504,
    level: 'error',
    message: 'The tree in memory no longer matches its digest; it is fetched again from peers',
    action: 'Check the memory of this machine.',
  },
  readerStarted: {
    number: 1505,
    level: 'info',
    message: 'This balancer now reads the settings from the platform for its region',
    action: 'none',
  },
  readerStopped: {
    number: 1506,
    level: 'info',
    message: 'This balancer no longer reads the settings from the platform',
    action: 'none',
  },
  staleReaderDiscarded: {
    number: 1507,
    level: 'warn',
    message: 'A tree was read after the reader lease had lapsed and was discarded',
    action: 'None if rare; else find out why this process is paused for seconds.',
  },
  badMessage: {
    number: 1508,
    level: 'warn',
    message: 'A settings message from a peer cannot be used and was dropped',
    action: 'Check that all balancers run releases that may run side by side.',
  },
  olderTreeIgnored: {
    number: 1509,
    level: 'info',
    message: 'The platform showed an older version than the one in force; it was ignored',
    action: 'If it stays so, the store was set back: see the page on store outages.',
  },
});
