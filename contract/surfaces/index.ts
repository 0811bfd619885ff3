/**
 * What other programs, stored data and operators rely on, each as a value that JSON can hold. This folder is the
 * only part of the contract test that knows where the code lies: when a module moves, its import here follows; the
 * test and the recorded values stay as they are.
 */
import { adminPages, statusDocuments } from './operator-admin.js';
import { commandLine } from './operator-command-line.js';
import { cookieDaemonConfiguration, daemonConfiguration } from './operator-configuration.js';
import { events, logLines } from './operator-events.js';
import { deployFiles, regressionFile, scenarios } from './operator-files.js';
import { metrics } from './operator-metrics.js';
import { environmentVariables, packageScripts, platformPrograms } from './operator-scripts.js';
import { settingsTree } from './operator-settings.js';

import { computeCookieEdgePackets, computeCookies, computeTunnelledPackets } from './wire-packets.js';
import {
  computeControlEnvelopes,
  computeDissemination,
  computeHealth,
  computeMembership,
  computeTreeCodec,
} from './wire-fleet.js';
import { computeFlowMessages, computeFlowRecords } from './wire-flows.js';
import { computeGossip } from './wire-gossip.js';
import {
  computeBasicHashes,
  computeDaemonHashes,
  computeFleetHashes,
  computePlacementHashes,
} from './wire-hashes.js';
import { computeSchemas } from './wire-schemas.js';
import { computePlatformRecords, computePlatformStore, computeTreeStore } from './wire-stores.js';

/** Computes one surface from the code as it is. */
export type Surface = () => Promise<unknown>;

/** By the name of the recorded file in `contract/recorded`, without its ending. */
export const SURFACES: Readonly<Record<string, Surface>> = {
  // On the wire
  'wire-control-envelopes': computeControlEnvelopes,
  'wire-cookie-edge-packets': computeCookieEdgePackets,
  'wire-cookies': computeCookies,
  'wire-daemon-hashes': computeDaemonHashes,
  'wire-dissemination': computeDissemination,
  'wire-fleet-hashes': computeFleetHashes,
  'wire-flow-messages': computeFlowMessages,
  'wire-flow-records': computeFlowRecords,
  'wire-gossip': computeGossip,
  'wire-hashes': computeBasicHashes,
  'wire-health': computeHealth,
  'wire-membership': computeMembership,
  'wire-placement-hashes': computePlacementHashes,
  'wire-platform-records': computePlatformRecords,
  'wire-platform-store': computePlatformStore,
  'wire-protobuf-schemas': computeSchemas,
  'wire-tree-codec': computeTreeCodec,
  'wire-tree-store': computeTreeStore,
  'wire-tunnelled-packets': computeTunnelledPackets,
  // For operators
  'operator-admin-pages': adminPages,
  'operator-command-line': commandLine,
  'operator-configuration-cookie-daemon': cookieDaemonConfiguration,
  'operator-configuration-daemon': daemonConfiguration,
  'operator-deploy-files': deployFiles,
  'operator-environment-variables': environmentVariables,
  'operator-events': events,
  'operator-log-lines': logLines,
  'operator-metrics': metrics,
  'operator-package-scripts': packageScripts,
  'operator-platform-programs': platformPrograms,
  'operator-regression-file': regressionFile,
  'operator-scenarios': scenarios,
  'operator-settings-tree': settingsTree,
  'operator-status-documents': statusDocuments,
};
