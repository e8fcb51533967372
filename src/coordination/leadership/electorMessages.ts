/** The messages that an elector handles: its own events and messages from other controllers. */
import type { PeerMessage } from "../../protocol/peers/messages.js";
import type { LeadershipView } from "./leadershipRecord.js";
import type { WonTerm } from "./leadershipStore.js";

/** The messages of the election protocol between controllers. */
export type ElectionPeerMessage = Extract<
  PeerMessage,
  { kind: "extension request" | "extension vote" | "term announcement" | "term acknowledgement" }
>;
/** A leader's announcement that it has begun a term. */
export type TermAnnouncement = Extract<ElectionPeerMessage, { kind: "term announcement" }>;
/** A controller's confirmation of a term, after which it confirms no extension of an earlier term. */
export type TermAcknowledgement = Extract<ElectionPeerMessage, { kind: "term acknowledgement" }>;
/** A leader's request to extend its right to acknowledge heartbeats. */
export type ExtensionRequest = Extract<ElectionPeerMessage, { kind: "extension request" }>;
/** A controller's answer to an extension request. */
export type ExtensionVote = Extract<ElectionPeerMessage, { kind: "extension vote" }>;

/** The result of a request to renew the leadership lease of a term. */
export interface RenewalResult {
  kind: "renewal finished";
  term: number;
  /** `ok`: the lease was renewed; `ended`: it no longer exists; `failed`: the state store refused or did not answer. */
  outcome: "ok" | "ended" | "failed";
  /** Steady time at which the request was sent. */
  sentMs: number;
}

/** The messages of an elector's mailbox. */
export type ElectorMessage =
  /** It is time to renew this controller's lease or, if it does not lead, to read the leadership record. */
  | { kind: "check due" }
  /** A read of the leadership record has finished; `view` is null if the state store did not answer in time. */
  | { kind: "leadership read"; view: LeadershipView | null; sentMs: number }
  /** A campaign has finished; `won` is null if this controller did not become the leader. */
  | { kind: "campaign finished"; won: WonTerm | null }
  | RenewalResult
  | { kind: "liveness write due" }
  | { kind: "peer"; message: ElectionPeerMessage }
  /** A link to the controller `peer` has closed and its host refuses a new connection. */
  | { kind: "peer refused"; peer: string; othersReachable: boolean }
  /** A term later than `term` has begun. */
  | { kind: "deposed"; term: number }
  /** This controller is overloaded as leader of `term`, and another controller is not. */
  | { kind: "lagging"; term: number };
