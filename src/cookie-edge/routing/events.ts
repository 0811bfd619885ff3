/** Log events about routes, back ends and the routing source (2000–2099). */
import { defineEvents } from '../../observability/event.js';

export const ROUTING_EVENTS = defineEvents({
  routesInForce: {
    number: 2000,
    level: 'info',
    message: 'New route table in force',
    action: 'none',
  },
  backendDiscovered: { number: 2001, level: 'info', message: 'Back end discovered', action: 'none' },
  backendChanged: { number: 2002, level: 'info', message: 'Back end record changed', action: 'none' },
  backendDeparted: {
    number: 2003,
    level: 'info',
    message: 'Back end record removed from the source; open flows continue, no new flows',
    action: 'none if it was stopped; otherwise check whether the back end can write its record',
  },
  backendEvicted: {
    number: 2004,
    level: 'info',
    message: 'Departed back end evicted; no flow to it can still be open',
    action: 'none',
  },
  backendRestarted: {
    number: 2017,
    level: 'info',
    message: 'Back end restarted under the same id; state of the previous incarnation discarded',
    action: 'none if the restart was intended; otherwise find out why the process ended',
  },
  backendRecreated: {
    number: 2019,
    level: 'info',
    message: 'Record of a known back end was created again; this does not mean that the process restarted',
    action: 'none after an outage of the source; otherwise check whether the back end can write its record',
  },
  backendsSettled: {
    number: 2018,
    level: 'info',
    message: 'List of back ends is considered complete; openings without a back end are refused at once',
    action: 'none',
  },
  firstListReceived: {
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
    action: 'none if rare; otherwise see the error',
  },
  tableDigestMismatch: {
    number: 2010,
    level: 'error',
    message: 'Digest mismatch after applying a change to the route table; fetching the whole table',
    action: 'Report a bug with the logs of this daemon and of the peer that sent the change',
  },
  recordProblem: {
    number: 2013,
    level: 'error',
    message: 'Malformed record in the source',
    action: 'Correct the record; the field `problem` describes how it is treated until then',
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
    message: 'Source no longer has the changes since the known revision; reading the whole topic again',
    action: 'none if rare; otherwise check the history retention of the source',
  },
  epochBegan: {
    number: 2016,
    level: 'warn',
    message: 'Source was restored from an older backup; reconciling the known state with it',
    action:
      'Check that the latest operator changes are in the source again; the current state stays in force until then',
  },
  olderRevisionReceived: {
    number: 2015,
    level: 'error',
    message: 'Source returned a revision older than the known one to a read that must be current',
    action: 'Check whether the source was restored from a backup without a new epoch',
  },
  olderTableIgnored: {
    number: 2008,
    level: 'info',
    message: 'Ignored a route table older than the one in force',
    action: 'none',
  },
});
