/** Log events of the settings slice. */
import { defineEvents } from '../observability/event.js';

/** Events 1600–1699. */
export const SETTINGS_EVENTS = defineEvents({
  editAccepted: {
    number: 1600,
    level: 'info',
    message: 'An edit of the settings tree was accepted',
    action: 'none',
  },
  editRebased: {
    number: 1601,
    level: 'info',
    message: 'An edit was applied again on a newer tree after a race without a conflict',
    action: 'none',
  },
  editConflict: {
    number: 1602,
    level: 'warn',
    message: 'An edit was refused because a racing edit changed the same node and field',
    action: 'Read the tree again and agree with the other author',
  },
  outcomeReadBack: {
    number: 1603,
    level: 'info',
    message: "A write's answer was lost; the tree is read back to find out whether it took effect",
    action: 'none',
  },
  editInvalid: {
    number: 1604,
    level: 'warn',
    message: 'An edit was refused because the tree would have faults',
    action: 'Mend every fault listed with the error',
  },
});
