/** Log events of cookie forwarding (1250–1299). */
import { defineEvents } from '../../observability/event.js';

export const COOKIE_FLOW_EVENTS = defineEvents({
  opened: { number: 1250, level: 'info', message: 'New flow assigned to a back end', action: 'none' },
  refused: {
    number: 1251,
    level: 'warn',
    message: 'New flow refused with a reset',
    action: 'no-route: check the routes; no-backend: check the back ends of the service',
  },
  flowMoved: {
    number: 1252,
    level: 'warn',
    message:
      'Retransmitted SYN assigned to another back end: the first one does not respond or gets no new flows',
    action: 'If it drains or has left: none; otherwise check the first back end',
  },
  flowAdopted: {
    number: 1253,
    level: 'info',
    message:
      'Flow placed by another daemon, or before this daemon started, forwarded by its connection cookie',
    action: 'none',
  },
  unknownCookie: {
    number: 1254,
    level: 'warn',
    message: 'Packet dropped: its connection cookie matches no known back end',
    action: 'Check whether this daemon knows all back ends; see knowledgeAgeMs',
  },
  staleSyn: {
    number: 1255,
    level: 'warn',
    message: 'SYN dropped: it may have been queued while this process was paused',
    action: 'Check the load of the machine',
  },
  backendEjected: {
    number: 1256,
    level: 'warn',
    message: 'Back end ejected because it does not respond; it gets no new flows',
    action: 'Check the back end and the network to it',
  },
  backendRevived: {
    number: 1257,
    level: 'info',
    message: 'Ejected, suspected or dead back end responds again',
    action: 'none',
  },
  backendDead: {
    number: 1259,
    level: 'warn',
    message: 'Back end considered dead by this daemon; its open flows are reset and it gets no new flows',
    action: 'silent, refused: check the back end and the network to it; superseded: none',
  },
  flowReset: {
    number: 1260,
    level: 'info',
    message: 'Open flow reset because its back end is dead',
    action: 'See the event 1259 of its back end',
  },
  openingsReleased: {
    number: 1261,
    level: 'info',
    message: 'Held openings decided after waiting for a back end to be listed or for their turn',
    action: 'none',
  },
  cookieOverruled: {
    number: 1262,
    level: 'warn',
    message: 'Packet kept at the back end of its open flow: its cookie is from another placement of its SYN',
    action: 'See the events 1250 of this flow on all daemons',
  },
  placementFound: {
    number: 1263,
    level: 'info',
    message: 'Retransmitted SYN sent to the back end at which a peer placed the opening',
    action: 'none',
  },
  placementNotFound: {
    number: 1264,
    level: 'info',
    message: 'No peer that answered has placed the opening of a retransmitted SYN; this daemon decides on it',
    action: 'If unanswered is above 0: check whether a daemon was lost; otherwise none',
  },
  supersededSyn: {
    number: 1265,
    level: 'warn',
    message: 'SYN dropped: a peer decides on a later copy of it',
    action: 'Check the load of the machine, and the network from the callers',
  },
  cookieFollowed: {
    number: 1266,
    level: 'info',
    message: 'Packet sent to the back end of its cookie although the cached flow is at another one',
    action: 'If the flow is open: see the events 1250 of this flow on all daemons; otherwise none',
  },
  retransmissionStays: {
    number: 1267,
    level: 'info',
    message: 'Retransmitted SYN sent to the back end of its flow',
    action:
      'If hasLeftRoute is true: check why no other back end takes new flows of the route; otherwise none',
  },
  handshakeShared: {
    number: 1268,
    level: 'info',
    message: 'Peers are told at which back end a flow opened whose SYN may have reached another one too',
    action: 'none',
  },
  handshakeFound: {
    number: 1269,
    level: 'info',
    message: 'Flow forwarded to the back end at which it opened; its cookie may be from another placement',
    action: 'none',
  },
  handshakeNotFound: {
    number: 1270,
    level: 'info',
    message: 'No peer that answered knows where a flow opened; its opening cookie is followed',
    action:
      'If unanswered is above 0: check whether a daemon was lost; if asked is 0, no peer was known or too many were lost; otherwise none',
  },
  handshakesHandedOver: {
    number: 1271,
    level: 'info',
    message: 'Stopping daemon tells its peers where contested flows opened',
    action: 'none',
  },
  probeFailed: {
    number: 1272,
    level: 'info',
    message: 'Probe of a back end that may be dead ended without an accepted connection',
    action: 'If finding is refused or silent: check the back end and the network to it; otherwise none',
  },
  paused: {
    number: 1258,
    level: 'warn',
    message: 'Process was paused',
    action: 'Check the load of the machine',
  },
});
