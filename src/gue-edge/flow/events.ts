/** Numbered log events of flow keeping (1200–1299). */
import { defineEvents } from '../../observability/event.js';

export const FLOW_EVENTS = defineEvents({
  ownershipChanged: {
    number: 1200,
    level: 'info',
    message: 'The membership view gave this balancer other shards',
    action: 'none',
  },
  shardsStartedEmpty: {
    number: 1201,
    level: 'warn',
    message: 'Shards were started without records because no holder offered them',
    action: 'Expected when the fleet starts; otherwise a keeper and its backup failed together',
  },
  takeover: {
    number: 1202,
    level: 'warn',
    message: 'Shards of a failed keeper are being handed to their new keeper',
    action: 'Check why the keeper failed',
  },
  steppedDown: {
    number: 1203,
    level: 'warn',
    message: 'Shards were given up because another balancer took them over meanwhile',
    action: 'Check whether this process was paused or cut off',
  },
  wrongServiceRecord: {
    number: 1204,
    level: 'error',
    message: 'A flow record names a back end of another service and was not used',
    action: 'Report this with the status pages of both balancers',
  },
  handOverEnded: {
    number: 1205,
    level: 'info',
    message: 'The hand-over of all shards ended',
    action: 'When shards are left, expect broken exceptions; allow more time for the stop',
  },
  undecodableMessage: {
    number: 1206,
    level: 'error',
    message: 'A message of another balancer could not be decoded',
    action: 'Check that both balancers run compatible versions',
  },
  pauseDetected: {
    number: 1207,
    level: 'warn',
    message: 'This process was paused for longer than replication allows',
    action: 'Check the load of the machine',
  },
  baseMissing: {
    number: 1208,
    level: 'warn',
    message: 'The back ends of an older settings version are not known and were asked for',
    action: 'none',
  },
  backendTableFull: {
    number: 1209,
    level: 'error',
    message: 'No further back end can be indexed',
    action: 'Restart this balancer; more than 65,535 back ends were seen since it started',
  },
});
