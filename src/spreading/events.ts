/** Log events of spreading knowledge between daemons (2200–2299). */
import { defineEvents } from '../observability/event.js';

export const SPREADING_EVENTS = defineEvents({
  reading: {
    number: 2200,
    level: 'info',
    message: 'This daemon reads the source of routes and back ends',
    action: 'none',
  },
  standingDown: {
    number: 2201,
    level: 'info',
    message: 'This daemon leaves reading the source to others',
    action: 'none',
  },
  overdue: {
    number: 2202,
    level: 'warn',
    message: 'Nothing has proved for a while that what is known is current; peers are asked',
    action: 'Check the source, and the network between daemons',
  },
  currentAgain: {
    number: 2203,
    level: 'info',
    message: 'What is known is proved to be current again',
    action: 'none',
  },
  peerKnown: { number: 2204, level: 'debug', message: 'A peer is known', action: 'none' },
  peerForgotten: {
    number: 2205,
    level: 'info',
    message: 'Nobody has heard of a peer for long; it is forgotten',
    action: 'none when it was stopped',
  },
  malformedMessage: {
    number: 2206,
    level: 'warn',
    message: 'A message from another daemon could not be understood and was dropped',
    action: 'Check that all daemons run versions that know each other',
  },
  fetched: {
    number: 2207,
    level: 'info',
    message: 'What was missing was fetched from a peer',
    action: 'none',
  },
  fetchFailed: {
    number: 2208,
    level: 'warn',
    message: 'Fetching what is missing from a peer failed',
    action: 'none when it is rare; others are asked',
  },
  socketFailed: {
    number: 2209,
    level: 'warn',
    message: 'The socket between daemons reported an error',
    action: 'Check the network between daemons; news repeat themselves',
  },
});
