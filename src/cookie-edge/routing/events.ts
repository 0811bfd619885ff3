/** Log events of routes and back ends (2000–2099). */
import { defineEvents } from '../../observability/event.js';

export const ROUTING_EVENTS = defineEvents({
  routesInForce: {
    number: 2000,
    level: 'info',
    message: 'New route table in force',
    action: 'none',
  },
  backendKnown: { number: 2001, level: 'info', message: 'Back end discovered', action: 'none' },
  backendChanged: { number: 2002, level: 'info', message: 'Back end record changed', action: 'none' },
  backendGone: {
    number: 2003,
    level: 'info',
    message: 'Back end record removed from the source; open flows continue, no new flows',
    action: 'none when it was stopped; otherwise check whether it can write its record',
  },
  backendForgotten: {
    number: 2004,
    level: 'info',
    message: 'Departed back end forgotten; no flow to it can still be open',
    action: 'none',
  },
  backendRestarted: {
    number: 2017,
    level: 'info',
    message: 'Back end started again under its id; what was known of its last life is forgotten',
    action: 'none when it was restarted; otherwise see why it ended',
  },
  backendRecreated: {
    number: 2019,
    level: 'info',
    message: 'Record of a known back end was created anew; it says nothing of when the process started',
    action: 'none after an outage of the source; otherwise check whether the back end can write its record',
  },
  backendsSettled: {
    number: 2018,
    level: 'info',
    message: 'List of back ends is trusted: openings that it cannot serve are refused at once',
    action: 'none',
  },
  backendsKnown: {
    number: 2009,
    level: 'info',
    message: 'First complete list of back ends received; later changes are logged one by one',
    action: 'none',
  },
  sourceLost: {
    number: 2005,
    level: 'warn',
    message: 'Source of routes and back ends unavailable; the last known state stays in force',
    action: 'Check the source and the network to it',
  },
  sourceRegained: {
    number: 2006,
    level: 'info',
    message: 'Source of routes and back ends available again',
    action: 'none',
  },
  sourceCallFailed: {
    number: 2007,
    level: 'warn',
    message: 'Call to the source of routes and back ends failed; it will be retried',
    action: 'none when it is rare; otherwise see the error',
  },
  tableDoubted: {
    number: 2010,
    level: 'error',
    message: 'Digest mismatch after applying a change to the route table; fetching the whole table',
    action: 'Report it with the logs of this daemon and of the one that sent the change',
  },
  recordProblem: {
    number: 2013,
    level: 'error',
    message: 'Record of the source has another form than expected',
    action: 'Correct the record; the field `problem` says what is done until then',
  },
  zoneCordoned: {
    number: 2011,
    level: 'info',
    message: 'Zone cordoned: its back ends get no new flows, open flows continue',
    action: 'none',
  },
  zoneUncordoned: {
    number: 2012,
    level: 'info',
    message: 'Zone no longer cordoned: its back ends get new flows again',
    action: 'none',
  },
  historyGone: {
    number: 2014,
    level: 'warn',
    message: 'Source no longer has the changes after the known revision; reading everything again',
    action: 'none when it is rare; otherwise check whether the source keeps its history',
  },
  epochBegan: {
    number: 2016,
    level: 'warn',
    message: 'Source was restored from an older copy; comparing what is known with what it has now',
    action: 'Check that what the operator wrote last is there again; what is in force stays until then',
  },
  olderRevision: {
    number: 2015,
    level: 'error',
    message: 'Source answered a current read with an older revision than is known here',
    action: 'Check whether the source was restored from a copy without naming a new epoch',
  },
  olderIgnored: {
    number: 2008,
    level: 'info',
    message: 'Ignored a route table older than the one in force',
    action: 'none',
  },
});
