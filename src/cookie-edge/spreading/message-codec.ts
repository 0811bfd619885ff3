/**
 * Encodes and decodes messages between daemons. Relies on `update-codec.ts` for the updates in them. A missing field
 * decodes to the default of its type, since the sender may run an older version.
 */
import type { LoadReport } from '../load/index.js';
import type { FlowAddresses, OpeningAnswer, OpeningQuery } from '../opening-lookup/index.js';
import type { BadAnswerReport } from '../outliers/index.js';
import type { RoutingTopic, TopicConfirmation } from '../routing/index.js';
import { NOTHING_KNOWN, ASSUMED_NETWORK_DELAY_MS } from './constants.js';
import { sailquay } from './pb/spreading.js';
import type { EjectionReport, Peer, PeerMessage, ReaderSighting } from './types.js';
import { decodeUpdate, encodeUpdate } from './update-codec.js';
import {
  ageOf,
  decodeEndpoint,
  decodeEpoch,
  encodeEndpoint,
  encodeEpoch,
  findKeyByNumber,
  MAX_AGE_MS,
  timeOfAge,
  TOPIC_NUMBERS,
} from './wire-values.js';

const wire = sailquay.spreading;
type WireMessage = sailquay.spreading.IPeerMessage;
type WireFlowAddresses = Omit<sailquay.spreading.IOpeningQuery, 'retransmissionCount' | 'acknowledgement'>;
type WireLoadReport = sailquay.spreading.ILoadReport;

const TYPE_NUMBERS = {
  news: wire.MessageType.NEWS,
  pull: wire.MessageType.PULL,
  state: wire.MessageType.STATE,
} as const;

/** Load levels are encoded as integers, in sixteenths. */
const LOAD_LEVEL_SCALE = 16;

/** Encodes a message that is sent at `nowMs`. */
export function encodePeerMessage(message: PeerMessage, nowMs: number): Uint8Array {
  const confirmations = Object.entries(message.confirmations) as [RoutingTopic, TopicConfirmation][];
  return wire.PeerMessage.encode({
    type: TYPE_NUMBERS[message.type],
    senderId: message.senderId,
    senderZone: message.senderZone,
    leaving: message.leaving,
    proofs: confirmations.map(([topic, { epoch, revision, changedRevision, confirmedAtMs }]) => ({
      topic: TOPIC_NUMBERS[topic],
      revision,
      changedRevision,
      ageMs: ageOf(nowMs, confirmedAtMs),
      epoch: encodeEpoch(epoch),
    })),
    readers: message.readers.map(({ id, confirmedAtMs }) => ({ id, ageMs: ageOf(nowMs, confirmedAtMs) })),
    peers: message.peers.map(({ endpoint, zone, heardAtMs }) => ({
      ...encodeEndpoint(endpoint),
      zone,
      ageMs: ageOf(nowMs, heardAtMs),
    })),
    updates: message.updates.map((update) => encodeUpdate(update, nowMs)),
    departedCount: message.departedCount,
    tableRevision: message.tableRevision,
    ...(message.unsettled && { unsettled: true }),
    suspicions: message.suspicions.map(({ backendId, atMs }) => ({ backendId, ageMs: ageOf(nowMs, atMs) })),
    loads: message.loads.map((report) => encodeLoad(report, nowMs)),
    badAnswers: message.badAnswers.map(({ backendId, observer, atMs }) => ({
      backendId,
      observer,
      ageMs: ageOf(nowMs, atMs),
    })),
    openingQueries: [...(message.openingQueries ?? [])],
    openingAnswers: (message.openingAnswers ?? []).map(encodeOpeningAnswer),
  }).finish();
}

/** Decodes a message received at `nowMs`. Returns undefined for a malformed one; the caller counts and logs it. */
export function decodePeerMessage(bytes: Uint8Array, nowMs: number): PeerMessage | undefined {
  try {
    return decodeWireMessage(wire.PeerMessage.decode(bytes), nowMs);
  } catch {
    // Any host may send arbitrary bytes; the parser error carries no further information.
    return undefined;
  }
}

function decodeWireMessage(message: WireMessage, nowMs: number): PeerMessage | undefined {
  const type = findKeyByNumber(TYPE_NUMBERS, message.type);
  const { senderId } = message;
  if (!type || !senderId) return undefined;
  const sentMs = nowMs - ASSUMED_NETWORK_DELAY_MS;
  return {
    type,
    senderId,
    senderZone: message.senderZone ?? '',
    leaving: message.leaving ?? false,
    departedCount: message.departedCount ?? 0,
    tableRevision: message.tableRevision ?? NOTHING_KNOWN,
    unsettled: message.unsettled ?? false,
    confirmations: decodeConfirmations(message, sentMs),
    updates: (message.updates ?? []).flatMap((update) => decodeUpdate(update, sentMs) ?? []),
    ...decodeReadersAndPeers(message, sentMs),
    ...decodeReports(message, sentMs),
    ...decodeOpenings(message),
  };
}

function decodeConfirmations({ proofs }: WireMessage, sentMs: number): PeerMessage['confirmations'] {
  const confirmations: Partial<Record<RoutingTopic, TopicConfirmation>> = {};
  for (const { topic, revision, changedRevision, ageMs, epoch } of proofs ?? []) {
    const topicName = findKeyByNumber(TOPIC_NUMBERS, topic);
    if (!topicName) continue;
    const confirmedAtMs = ageMs === MAX_AGE_MS ? Number.NEGATIVE_INFINITY : timeOfAge(ageMs, sentMs);
    confirmations[topicName] = {
      ...decodeEpoch(epoch),
      revision: revision ?? 0,
      changedRevision: changedRevision ?? 0,
      confirmedAtMs,
    };
  }
  return confirmations;
}

/** Decodes the readers and peers in a message. */
function decodeReadersAndPeers(
  { readers, peers }: WireMessage,
  sentMs: number,
): Pick<PeerMessage, 'readers' | 'peers'> {
  return {
    readers: (readers ?? []).map(({ id, ageMs }): ReaderSighting => ({
      id: id ?? '',
      confirmedAtMs: timeOfAge(ageMs, sentMs),
    })),
    peers: (peers ?? []).map(({ zone, ageMs, ...wireEndpoint }): Peer => ({
      endpoint: decodeEndpoint(wireEndpoint),
      zone: zone ?? '',
      heardAtMs: timeOfAge(ageMs, sentMs),
    })),
  };
}

/** Decodes the reports about back ends in a message. */
function decodeReports(
  { suspicions, loads, badAnswers }: WireMessage,
  sentMs: number,
): Pick<PeerMessage, 'suspicions' | 'loads' | 'badAnswers'> {
  return {
    suspicions: (suspicions ?? []).map(({ backendId, ageMs }): EjectionReport => ({
      backendId: backendId ?? '',
      atMs: timeOfAge(ageMs, sentMs),
    })),
    loads: (loads ?? []).map((report) => decodeLoad(report, sentMs)),
    badAnswers: (badAnswers ?? []).map(({ backendId, observer, ageMs }): BadAnswerReport => ({
      backendId: backendId ?? '',
      observer: observer ?? 0,
      atMs: timeOfAge(ageMs, sentMs),
    })),
  };
}

function decodeFlowAddresses({
  sourceAddress,
  sourcePort,
  destinationAddress,
  destinationPort,
}: WireFlowAddresses): FlowAddresses {
  return {
    sourceAddress: sourceAddress ?? 0,
    sourcePort: sourcePort ?? 0,
    destinationAddress: destinationAddress ?? 0,
    destinationPort: destinationPort ?? 0,
  };
}

/** Decodes the queries and answers about openings in a message. Most messages have none. */
function decodeOpenings({
  openingQueries,
  openingAnswers,
}: WireMessage): Pick<PeerMessage, 'openingQueries' | 'openingAnswers'> {
  return {
    ...(openingQueries?.length && { openingQueries: openingQueries.map(decodeOpeningQuery) }),
    ...(openingAnswers?.length && { openingAnswers: openingAnswers.map(decodeOpeningAnswer) }),
  };
}

function decodeOpeningQuery(query: sailquay.spreading.IOpeningQuery): OpeningQuery {
  const { retransmissionCount } = query;
  return {
    ...decodeFlowAddresses(query),
    retransmissionCount: retransmissionCount ?? 0,
    ...decodeAcknowledgement(query),
  };
}

function encodeOpeningAnswer({ backendId, ...answer }: OpeningAnswer): sailquay.spreading.IOpeningAnswer {
  return { ...answer, ...(backendId !== undefined && { backendId }) };
}

/** A missing field, or 0, means that the sender does not know of a completed handshake. */
function decodeAcknowledgement({
  acknowledgement,
}: Pick<sailquay.spreading.IOpeningQuery, 'acknowledgement'>): { readonly acknowledgement?: number } {
  return acknowledgement ? { acknowledgement } : {};
}

/** An empty id means that the peer has not placed the opening. */
function decodeOpeningAnswer(answer: sailquay.spreading.IOpeningAnswer): OpeningAnswer {
  return {
    ...decodeFlowAddresses(answer),
    backendId: answer.backendId || undefined,
    ...decodeAcknowledgement(answer),
  };
}

function encodeLoad({ page, measuredAtMs, validMs, busy }: LoadReport, nowMs: number): WireLoadReport {
  return {
    page,
    ageMs: ageOf(nowMs, measuredAtMs),
    validMs,
    tags: busy.map(({ tag }) => tag),
    sixteenths: busy.map(({ level }) => Math.round(level * LOAD_LEVEL_SCALE)),
  };
}

function decodeLoad({ page, ageMs, validMs, tags, sixteenths }: WireLoadReport, sentMs: number): LoadReport {
  return {
    page: page ?? 0,
    measuredAtMs: timeOfAge(ageMs, sentMs),
    validMs: validMs ?? 0,
    busy: (tags ?? []).map((tag, index) => ({ tag, level: (sixteenths?.[index] ?? 0) / LOAD_LEVEL_SCALE })),
  };
}
