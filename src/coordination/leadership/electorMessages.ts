/** The messages that an elector takes, its own and those of other controllers. */
import type { PeerMessage } from "../../protocol/peers/messages.js";
import type { LeadershipView } from "./leadershipRecord.js";
import type { WonTerm } from "./leadershipStore.js";

/** The messages between controllers that are about the election. */
export type ElectionPeerMessage = Extract<
  PeerMessage,
  { kind: "extension request" | "extension vote" | "term announcement" | "term acknowledgement" }
>;
/** A leader says that it has begun a term. */
export type TermAnnouncement = Extract<ElectionPeerMessage, { kind: "term announcement" }>;
/** A controller confirms a term: it extends no earlier one from then on. */
export type TermAcknowledgement = Extract<ElectionPeerMessage, { kind: "term acknowledgement" }>;
/** A leader asks for an extension of its right to acknowledge heartbeats. */
export type ExtensionRequest = Extract<ElectionPeerMessage, { kind: "extension request" }>;
/** A controller's answer to a request for extension. */
export type ExtensionVote = Extract<ElectionPeerMessage, { kind: "extension vote" }>;

/** The end of a request to renew the lease of that term. */
export interface RenewalResult {
  kind: "renewal finished";
  term: number;
  outcome: "ok" | "ended" | "failed";
  sentMs: number;
}

/** All that an elector's mailbox takes. */
export type ElectorMessage =
  /** Time to renew our lease, or to read who leads. */
  | { kind: "check due" }
  /** `view` is null when the state store did not answer in time. */
  | { kind: "leadership read"; view: LeadershipView | null; sentMs: number }
  /** `won` is null when this controller does not lead. */
  | { kind: "campaign finished"; won: WonTerm | null }
  | RenewalResult
  | { kind: "liveness write due" }
  | { kind: "peer"; message: ElectionPeerMessage }
  /** A link to that controller has closed, and its host refuses a new one. */
  | { kind: "peer refused"; peer: string; othersReachable: boolean }
  /** A term later than that one has begun. */
  | { kind: "deposed"; term: number }
  /** This controller can't keep up with leading that term, and others can. */
  | { kind: "lagging"; term: number };
