/** Log events of membership. */
import { defineEvents } from '../../observability/event.js';

export const MEMBERSHIP_EVENTS = defineEvents({
  joined: {
    number: 1400,
    level: 'info',
    message: 'Joined the region through another member',
    action: 'none',
  },
  joinWaiting: {
    number: 1401,
    level: 'warn',
    message: 'No other member could be reached yet',
    action: 'Check the seeds, the key file and that the control port is open between balancers.',
  },
  memberActive: {
    number: 1402,
    level: 'info',
    message: 'A member takes shards',
    action: 'none',
  },
  memberSuspect: {
    number: 1403,
    level: 'info',
    message: 'A member does not answer probes',
    action: 'none',
  },
  memberFailed: {
    number: 1404,
    level: 'warn',
    message: 'A member was removed because it stayed silent',
    action: 'See whether the machine is down; a replacement joins by itself.',
  },
  memberLeft: {
    number: 1405,
    level: 'info',
    message: 'A member left as planned',
    action: 'none',
  },
  zoneSilent: {
    number: 1406,
    level: 'error',
    message: 'Most of a zone fell silent at once; its members are removed in one change',
    action: 'Check power and network of the zone.',
  },
  quorumLost: {
    number: 1407,
    level: 'error',
    message: 'Fewer than half of the last known members can be reached; no new flow is opened here',
    action: 'Restore the network to the other balancers, or the platform if this is the only balancer left.',
  },
  quorumRegained: {
    number: 1408,
    level: 'info',
    message: 'Enough members can be reached again',
    action: 'none',
  },
  paused: {
    number: 1409,
    level: 'warn',
    message: 'This process did not run for a while; pending probes are discarded and it contacts others anew',
    action: 'If it repeats, look for an overloaded or suspended machine.',
  },
  refuted: {
    number: 1410,
    level: 'warn',
    message: 'Other members held this one for failed; it told them otherwise',
    action: 'If it repeats, look for packet loss or an overloaded machine.',
  },
  collision: {
    number: 1411,
    level: 'error',
    message: 'Two member ids have the same 32-bit hash; the newcomer is not admitted',
    action: 'Rename the newcomer.',
  },
  replaced: {
    number: 1413,
    level: 'error',
    message: 'A later process with the same id runs elsewhere; this one withdraws',
    action: 'Stop this process, or give it an id of its own.',
  },
  badMessage: {
    number: 1412,
    level: 'warn',
    message: 'An authenticated membership message could not be decoded',
    action: 'Compare the versions of both balancers.',
  },
});
