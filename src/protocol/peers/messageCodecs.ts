/**
 * The codecs of the bodies of peer messages. The order of the properties is the order of the fields in the frame, so
 * any change to the tables below requires a new `PEER_PROTOCOL_VERSION`.
 */
import type { CommandDelivery, DeliveryResult, ReceivedHeartbeat } from "../model.js";
import {
  boolean,
  listOf,
  nullable,
  record,
  safeInteger,
  string,
  timestamp,
  uint48,
  type Codec,
  type RecordCodec,
} from "./fieldCodecs.js";
import type { ConfirmedCancellation, PeerMessage, ServerLoad, TaskCounts } from "./messages.js";
import { command, heartbeat, unchangedHeartbeat } from "./workerCodecs.js";

/** The kind of a message between controllers. */
export type PeerMessageKind = PeerMessage["kind"];
/** The fields of a kind, without those at the start of every frame. */
type Body<Kind extends PeerMessageKind> = Omit<Extract<PeerMessage, { kind: Kind }>, "kind" | "from">;

/** Identifies a link of this program; other programs may connect to the port as well. */
const MAGIC = "lichenturn";

const protocolVersion: Codec<number> = {
  write: (writer, version) => void writer.string(MAGIC).uint48(version),
  read(reader) {
    if (reader.string() !== MAGIC) throw new RangeError("hello message does not contain the protocol magic");
    return reader.uint48();
  },
};

/** An HTTP status, or null without a response, which is encoded as 0. */
const httpStatus: Codec<number | null> = {
  write: (writer, status) => void writer.uint48(status ?? 0),
  read: (reader) => reader.uint48() || null,
};

const termOnly = record<{ term: number }>({ term: uint48 });

const taskCounts = record<TaskCounts>({ id: string, done: uint48, running: uint48 });

const receivedHeartbeat = record<ReceivedHeartbeat>({ ageMs: uint48, heartbeat });

const confirmedCancellation = record<ConfirmedCancellation>({ id: string, cancelledAt: timestamp });

const serverLoad = record<ServerLoad>({ node: string, workerCount: uint48, lagMs: uint48 });

const commandDelivery = record<CommandDelivery>({
  machine: string,
  address: string,
  fencingToken: safeInteger,
  epoch: safeInteger,
  commands: listOf(command),
});

const deliveryResult = record<DeliveryResult>({
  machine: string,
  fencingToken: safeInteger,
  status: httpStatus,
  neverSent: boolean,
  heartbeat: nullable(heartbeat),
});

/** The number of each kind, which is the first byte of a frame. */
export const KIND_NUMBERS: Readonly<Record<PeerMessageKind, number>> = {
  hello: 0,
  "extension request": 1,
  "extension vote": 2,
  "term announcement": 3,
  "term acknowledgement": 4,
  "task counts": 5,
  "heartbeat server update": 6,
  grant: 7,
  deliveries: 8,
  "delivery results": 9,
  isolated: 10,
};

/** The codecs of each kind's fields after the kind's number and the sender. */
export const BODY_CODECS: { readonly [Kind in PeerMessageKind]: RecordCodec<Body<Kind>> } = {
  hello: record<Body<"hello">>({ version: protocolVersion }),
  "extension request": record<Body<"extension request">>({ term: uint48, requestId: uint48 }),
  "extension vote": record<Body<"extension vote">>({ term: uint48, requestId: uint48, isGranted: boolean }),
  "term announcement": termOnly,
  "term acknowledgement": termOnly,
  "task counts": record<Body<"task counts">>({ term: uint48, jobs: listOf(taskCounts) }),
  "heartbeat server update": record<Body<"heartbeat server update">>({
    term: uint48,
    incarnation: uint48,
    sequence: uint48,
    lastGrantIssuedAtMs: uint48,
    lastResyncIssuedAtMs: uint48,
    requestedAtMs: uint48,
    workerCount: uint48,
    lagMs: uint48,
    unchanged: listOf(unchangedHeartbeat),
    heartbeats: listOf(receivedHeartbeat),
    cancellations: listOf(confirmedCancellation),
    cancellationSeq: uint48,
    cancellationsComplete: boolean,
  }),
  grant: record<Body<"grant">>({
    term: uint48,
    incarnation: uint48,
    requestedAtMs: uint48,
    durationMs: uint48,
    zoneDurationMs: uint48,
    issuedAtMs: uint48,
    stateStoreReachable: boolean,
    resync: boolean,
    cancellationSeq: uint48,
    quarantined: listOf(string),
    servers: listOf(serverLoad),
  }),
  isolated: termOnly,
  deliveries: record<Body<"deliveries">>({ term: uint48, deliveries: listOf(commandDelivery) }),
  "delivery results": record<Body<"delivery results">>({ term: uint48, results: listOf(deliveryResult) }),
};
