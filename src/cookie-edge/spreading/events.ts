/** Log events of gossip between daemons (2200–2299). */
import { defineEvents } from '../../observability/event.js';

export const SPREADING_EVENTS = defineEvents({
  reading: {
    number: 2200,
    level: 'info',
    message: 'This daemon starts reading the source of routes and back ends',
    action: 'none',
  },
  standingDown: {
    number: 2201,
    level: 'info',
    message: 'This daemon stops reading the source; enough other daemons read it',
    action: 'none',
  },
  overdue: {
    number: 2202,
    level: 'warn',
    message: 'No freshness confirmation of routes and back ends for too long; pulling from peers',
    action: 'Check the source, and the network between daemons',
  },
  currentAgain: {
    number: 2203,
    level: 'info',
    message: 'Routes and back ends are confirmed to be current again',
    action: 'none',
  },
  peerKnown: { number: 2204, level: 'debug', message: 'Peer discovered', action: 'none' },
  peerForgotten: {
    number: 2205,
    level: 'info',
    message: 'Peer removed: no message from it or about it for 15 s',
    action: 'none if that daemon was stopped',
  },
  malformedMessage: {
    number: 2206,
    level: 'warn',
    message: 'Malformed message from another daemon dropped',
    action: 'Check that all daemons run compatible versions',
  },
  fetched: {
    number: 2207,
    level: 'info',
    message: 'Missing routes or back ends fetched from a peer',
    action: 'none',
  },
  fetchFailed: {
    number: 2208,
    level: 'warn',
    message: 'Fetching missing routes or back ends from a peer failed',
    action: 'none when it is rare; the daemon retries with other peers',
  },
  socketFailed: {
    number: 2209,
    level: 'warn',
    message: 'The socket between daemons reported an error',
    action: 'Check the network between daemons; gossip repeats lost messages',
  },
  awaitingTurn: {
    number: 2210,
    level: 'warn',
    message: 'Confirmation overdue; this daemon reads the source after others had their turn',
    action: 'Check the source, and the network between daemons',
  },
});
