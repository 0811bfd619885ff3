/** Log events of routes and back ends (2000–2099). */
import { defineEvents } from '../observability/event.js';

export const ROUTING_EVENTS = defineEvents({
  routesInForce: {
    number: 2000,
    level: 'info',
    message: 'A newer table of routes is in force',
    action: 'none',
  },
  backendKnown: { number: 2001, level: 'info', message: 'A back end is known', action: 'none' },
  backendChanged: { number: 2002, level: 'info', message: 'A back end changed its record', action: 'none' },
  backendGone: {
    number: 2003,
    level: 'info',
    message: 'The record of a back end is gone; its open flows go on, it gets no new ones',
    action: 'none when it was stopped; otherwise check whether it can write its record',
  },
  backendForgotten: {
    number: 2004,
    level: 'info',
    message: 'A back end that left is forgotten; no flow to it can be open any more',
    action: 'none',
  },
  backendsKnown: {
    number: 2009,
    level: 'info',
    message: 'The back ends are known for the first time; further ones are told one by one',
    action: 'none',
  },
  sourceLost: {
    number: 2005,
    level: 'warn',
    message: 'The source of routes and back ends cannot be read; what is known stays in force',
    action: 'Check the source and the network to it',
  },
  sourceRegained: {
    number: 2006,
    level: 'info',
    message: 'The source of routes and back ends is read again',
    action: 'none',
  },
  sourceCallFailed: {
    number: 2007,
    level: 'warn',
    message: 'A call to the source of routes and back ends failed and is repeated',
    action: 'none when it is rare; otherwise see the error',
  },
  tableDoubted: {
    number: 2010,
    level: 'error',
    message: 'A change made for the table of routes in force does not lead to the table that it should',
    action:
      'Report it with the logs of this daemon and of the one that sent the change; the whole table is fetched',
  },
  olderIgnored: {
    number: 2008,
    level: 'info',
    message: 'A table of routes older than the one in force was ignored',
    action: 'none',
  },
});
