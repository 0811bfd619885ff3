/** Log events of the edge. */
import { defineEvents } from '../observability/event.js';

export const FABRIC_EVENTS = defineEvents({
  edgeListening: {
    number: 1100,
    level: 'info',
    message: 'The data socket is bound',
    action: 'none',
  },
  socketError: {
    number: 1101,
    level: 'warn',
    message: 'A data socket reported an error',
    action: 'Check that the named destination is reachable; the packet was lost and its sender repeats it',
  },
  connectFailed: {
    number: 1102,
    level: 'warn',
    message: 'No socket of its own could be opened for a destination; the shared socket is used',
    action: 'Raise the limit of open files of the process if this repeats',
  },
  handlerFailed: {
    number: 1103,
    level: 'error',
    message: 'Handling a packet failed; the packet was dropped',
    action: 'Report the error text to the developers',
  },
});
