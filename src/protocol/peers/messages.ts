/** The messages between controllers. Their encoding in frames is defined in `codec.ts` and `messageCodecs.ts`. */
import type { CommandDelivery, DeliveryResult, ReceivedHeartbeat, UnchangedHeartbeat } from "../model.js";

/** A link from a controller of another version is rejected, because its frames may have a different meaning. */
export const PEER_PROTOCOL_VERSION = 4;

/** A job cancellation that was confirmed to a user. */
export interface ConfirmedCancellation {
  id: string;
  /** The time of day just before the cancellation was committed. */
  cancelledAt: Date;
}

/** A controller's report to the leader about the workers that it serves, and its request for a new grant. */
export interface HeartbeatServerUpdate {
  kind: "heartbeat server update";
  from: string;
  term: number;
  /** The incarnation of the sender, which differs in each process. */
  incarnation: number;
  /** Sequence number of the update within this incarnation and term; a gap means that acknowledgements were lost. */
  sequence: number;
  /**
   * `issuedAtMs` of the last grant received: with this update, all acknowledgements up to that time have been sent to
   * the leader. It is 0 if there was no grant in this term, or if another update of the same batch follows.
   */
  lastGrantIssuedAtMs: number;
  /**
   * `issuedAtMs` of the last grant that requested a resync: with this update, the requested heartbeats have been sent.
   * It is 0 if there was no such grant in this term, or if another update of the same batch follows.
   */
  lastResyncIssuedAtMs: number;
  /** The time of the request on the sender's clock, which the grant returns. */
  requestedAtMs: number;
  /** Number of workers that the sender serves. */
  workerCount: number;
  /** Event loop lag of the sender's process, in milliseconds. */
  lagMs: number;
  /** Acknowledged heartbeats that differ from the worker's previous one only in the tick. */
  unchanged: UnchangedHeartbeat[];
  /** Acknowledged heartbeats that the leader needs in full. */
  heartbeats: ReceivedHeartbeat[];
  /** Cancellations that this process confirmed to users and the leader has not acknowledged. */
  cancellations: ConfirmedCancellation[];
  /** Sequence number, within this process, of the last cancellation that the leader has with this update. */
  cancellationSeq: number;
  /** With this update the leader has all cancellations that this process confirmed up to `lastGrantIssuedAtMs`. */
  cancellationsComplete: boolean;
}

/** The load of a heartbeat server. */
export interface ServerLoad {
  node: string;
  /** Number of workers that the server serves. */
  workerCount: number;
  /** Event loop lag of the server's process, in milliseconds. */
  lagMs: number;
}

/** The leader's permission for a controller to acknowledge heartbeats for a limited time. */
export interface Grant {
  kind: "grant";
  from: string;
  term: number;
  /** The incarnation of the process that requested the grant. */
  incarnation: number;
  /** The start of the grant, on the clock of the process that requested it. */
  requestedAtMs: number;
  /** Duration of the grant, from `requestedAtMs`. */
  durationMs: number;
  /**
   * Duration of the permission for workers in the requesting controller's own zone while the whole zone is partitioned
   * from the leader; 0 if there is no permission beyond `durationMs`.
   */
  zoneDurationMs: number;
  /** The time at which the leader issued the grant, on the leader's clock. */
  issuedAtMs: number;
  /** The state store serves the leader, so if it refuses another node, only that node is affected. */
  stateStoreReachable: boolean;
  /** An update was lost, so the controller must send all heartbeats in full again. */
  resync: boolean;
  /** The leader has the cancellations that this process confirmed, up to this sequence number. */
  cancellationSeq: number;
  /** Names of machines whose heartbeats must not be acknowledged, because a cancelled task may still run there. */
  quarantined: string[];
  /** The load of each controller that serves workers. */
  servers: ServerLoad[];
}

/** The numbers of a job's finished and running tasks, which are only for display. */
export interface TaskCounts {
  id: string;
  done: number;
  running: number;
}

/** The first message on each link, which identifies the sender and its protocol version. */
export interface Hello {
  kind: "hello";
  from: string;
  version: number;
}

/** Asks whether the leader of this term may continue to acknowledge heartbeats during an outage of the state store. */
export interface ExtensionRequest {
  kind: "extension request";
  from: string;
  term: number;
  requestId: number;
}

/** The response to an extension request. */
export interface ExtensionVote {
  kind: "extension vote";
  from: string;
  term: number;
  /** The id of the request that the vote responds to. */
  requestId: number;
  isGranted: boolean;
}

/** The sender leads this term, and the receiver must not grant extensions of earlier terms any more. */
export interface TermAnnouncement {
  kind: "term announcement";
  from: string;
  term: number;
}

/** The response to a term announcement: the sender grants no more extensions of earlier terms. */
export interface TermAcknowledgement {
  kind: "term acknowledgement";
  from: string;
  term: number;
}

/** The task counts of jobs; the counts of a job that is not listed have not changed. */
export interface TaskCountsUpdate {
  kind: "task counts";
  from: string;
  term: number;
  jobs: TaskCounts[];
}

/** The sender may acknowledge heartbeats at most in its own zone, and receives no grants from the term's leader. */
export interface Isolated {
  kind: "isolated";
  from: string;
  term: number;
}

/** Deliveries of commands that the receiver sends to workers on behalf of the leader. */
export interface Deliveries {
  kind: "deliveries";
  from: string;
  term: number;
  deliveries: CommandDelivery[];
}

/** The results of deliveries that the sender made on behalf of the leader. */
export interface DeliveryResults {
  kind: "delivery results";
  from: string;
  term: number;
  results: DeliveryResult[];
}

/** A message between controllers. */
export type PeerMessage =
  | Hello
  | ExtensionRequest
  | ExtensionVote
  | TermAnnouncement
  | TermAcknowledgement
  | TaskCountsUpdate
  | HeartbeatServerUpdate
  | Grant
  | Isolated
  | Deliveries
  | DeliveryResults;
