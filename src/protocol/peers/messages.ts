/** What controllers say to each other. How it stands in a frame: `codec.ts` and the tables beside it. */
import type { CommandDelivery, DeliveryResult, ReceivedHeartbeat, UnchangedHeartbeat } from "../model.js";

/** Controllers of another version are refused: their frames may mean something else. */
export const PEER_PROTOCOL_VERSION = 4;

/** A cancellation that was confirmed to a user. */
export interface ConfirmedCancellation {
  id: string;
  /** The time of day just before it was committed. */
  cancelledAt: Date;
}

/** What a controller reports to the leader about the workers that it serves; also its request for a new grant. */
export interface HeartbeatServerUpdate {
  kind: "heartbeat server update";
  from: string;
  term: number;
  /** Different in each process. */
  incarnation: number;
  /** One more in each frame of this incarnation and term: a gap means that acknowledgements were lost. */
  sequence: number;
  /** `issuedAtMs` of the last grant received: all acknowledgements up to then have been sent to the leader by now. */
  lastGrantIssuedAtMs: number;
  /** `issuedAtMs` of the last grant that asked for a resync: from this frame on everything is sent again. */
  lastResyncIssuedAtMs: number;
  /** The sender's own clock; comes back in the grant. */
  requestedAtMs: number;
  /** Number of workers served. */
  machines: number;
  /** Event loop lag of the sender's process. */
  lagMs: number;
  /** Acknowledged heartbeats that differ from the worker's last one in nothing but the tick. */
  unchanged: UnchangedHeartbeat[];
  /** Acknowledged heartbeats that bring a change. */
  heartbeats: ReceivedHeartbeat[];
  /** Cancellations that this process confirmed to users, less those that the leader has acknowledged. */
  cancellations: ConfirmedCancellation[];
  /** Number of the last of them, counted in each process. */
  cancellationSeq: number;
  /** With this frame the leader has all cancellations that this process confirmed up to `lastGrantIssuedAtMs`. */
  cancellationsComplete: boolean;
}

/** How much a heartbeat server has to do. */
export interface ServerLoad {
  node: string;
  /** Number of workers served. */
  machines: number;
  lagMs: number;
}

/** The leader's permission for a controller to acknowledge heartbeats for a while. */
export interface Grant {
  kind: "grant";
  from: string;
  term: number;
  /** Of the process that asked. */
  incarnation: number;
  /** The grant counts from this time on the asking process's clock. */
  requestedAtMs: number;
  durationMs: number;
  /** For workers of the requesting controller's zone, while the whole zone is cut off; 0: no longer than the rest. */
  zoneDurationMs: number;
  /** On the leader's clock. */
  issuedAtMs: number;
  /** The state store serves the leader: a node that it refuses is alone with that. */
  stateStoreReachable: boolean;
  /** An update was lost: send everything again. */
  resync: boolean;
  /** The leader has this process's confirmed cancellations up to this number. */
  cancellationSeq: number;
  /** Machines whose heartbeats may not be acknowledged: a cancelled task may still run there. */
  quarantined: string[];
  servers: ServerLoad[];
}

/** How far a job is, for display only. */
export interface TaskCounts {
  id: string;
  done: number;
  running: number;
}

/** Opens every link. */
export interface Hello {
  kind: "hello";
  from: string;
  version: number;
}

/** May the leader of this term keep its lease during an outage of the state store? */
export interface ExtensionRequest {
  kind: "extension request";
  from: string;
  term: number;
  requestId: number;
}

/** The answer to an extension request. */
export interface ExtensionVote {
  kind: "extension vote";
  from: string;
  term: number;
  /** The request that it responds to. */
  requestId: number;
  isGranted: boolean;
}

/** The sender leads this term: grant no extension of an earlier one from now on. */
export interface TermAnnouncement {
  kind: "term announcement";
  from: string;
  term: number;
}

/** The answer to a term announcement: no extension of an earlier term is confirmed from now on. */
export interface TermAcknowledgement {
  kind: "term acknowledgement";
  from: string;
  term: number;
}

/** Counts of running jobs; whatever is not named has not changed. */
export interface TaskCountsUpdate {
  kind: "task counts";
  from: string;
  term: number;
  jobs: TaskCounts[];
}

/** The sender may not acknowledge heartbeats any more, and gets nothing from a leader of this term. */
export interface Isolated {
  kind: "isolated";
  from: string;
  term: number;
}

/** Commands for the receiver to send to workers. */
export interface Deliveries {
  kind: "deliveries";
  from: string;
  term: number;
  deliveries: CommandDelivery[];
}

/** What became of deliveries that the leader had another controller carry. */
export interface DeliveryResults {
  kind: "delivery results";
  from: string;
  term: number;
  results: DeliveryResult[];
}

/** All that controllers send one another. */
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
