/** Log events of the control channel. */
import { defineEvents } from '../../observability/event.js';

export const CONTROL_EVENTS = defineEvents({
  channelOpened: {
    number: 1800,
    level: 'info',
    message: 'Control channel is bound',
    action: 'none',
  },
  keysLoaded: {
    number: 1801,
    level: 'info',
    message: 'Cluster keys were loaded',
    action: 'none',
  },
  keysRejected: {
    number: 1802,
    level: 'error',
    message: 'Cluster key file could not be used; the previous keys stay in force',
    action: 'Correct the key file and send SIGHUP.',
  },
  incompatiblePeer: {
    number: 1803,
    level: 'error',
    message: 'A peer shares no protocol version with this balancer; its messages are dropped',
    action: 'Upgrade the older of the two one release at a time.',
  },
  authenticationFailing: {
    number: 1804,
    level: 'warn',
    message: 'Datagrams were dropped because their key or authentication code is wrong',
    action: 'Compare the key files of both balancers; if they agree, someone is forging datagrams.',
  },
  socketFailed: {
    number: 1805,
    level: 'error',
    message: 'The control socket reported an error',
    action: 'Check the network interface and the address the channel is bound to.',
  },
});
