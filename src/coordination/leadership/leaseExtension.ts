/**
 * Extension of a leader's right to acknowledge heartbeats during an outage of the state store. An outage must not stop
 * running tasks, so a majority of the controllers may extend that right for a short time. The right to write is never
 * extended.
 */
import { shortenedByDrift } from "../term/clockDrift.js";
import type { ExtensionVote } from "./electorMessages.js";
import { isMajority } from "./quorum.js";

/** Duration of an extension, counted from its request. */
export const EXTENSION_MS = 2000;
/**
 * A controller confirms an extension only if the state store refused it at most this long ago, and has served none of its
 * requests sent after that refusal.
 */
const REFUSED_WITHIN_MS = 1500;

/** The state of a controller that decides on an extension request. All times are steady. */
export interface ExtensionFacts {
  nowMs: number;
  /** True if this process has read the leadership keys at least once. */
  hasReadLeadership: boolean;
  /** When the last request that the state store served was sent; -Infinity if there is none. */
  lastServedRequestSentMs: number;
  /** When a request last failed or was refused as unavailable; -Infinity if none was. */
  lastRefusedMs: number;
  /** The newest term that this controller knows. */
  knownTerm: number;
  requestedTerm: number;
}

/** Returns true if the state store is unavailable to this controller as well and the controller knows no later term. */
export function mayConfirmExtension(facts: ExtensionFacts): boolean {
  return (
    // A restarted controller does not know the newest term before its first read.
    facts.hasReadLeadership &&
    facts.knownTerm <= facts.requestedTerm &&
    facts.lastRefusedMs > facts.lastServedRequestSentMs &&
    facts.nowMs - facts.lastRefusedMs <= REFUSED_WITHIN_MS
  );
}

interface OpenRequest {
  sentMs: number;
  term: number;
  /** Names of the controllers that have granted it, including the leader itself. */
  confirmedBy: Set<string>;
}

/** A leader's open extension requests and the votes received for each. */
export class ExtensionRequests {
  /** Is not reset between the terms of a process, so that a late vote never matches a newer request. */
  private lastRequestId = 0;
  private readonly open = new Map<number, OpenRequest>();

  constructor(
    private readonly node: string,
    private readonly peers: readonly string[],
  ) {}

  /** Drops all requests, so that votes for an earlier term are ignored. */
  clear(): void {
    this.open.clear();
  }

  /** Opens a request with this controller's own vote, drops requests older than an extension, and returns the new id. */
  add(term: number, sentMs: number): number {
    const requestId = ++this.lastRequestId;
    this.open.set(requestId, { sentMs, term, confirmedBy: new Set([this.node]) });
    for (const [otherId, other] of this.open)
      if (sentMs - other.sentMs > EXTENSION_MS) this.open.delete(otherId);
    return requestId;
  }

  /** Counts a vote for the leader of `leadingTerm`. Returns the extension's end, or null without a majority. */
  receiveVote(vote: ExtensionVote, leadingTerm: number): number | null {
    const request = this.open.get(vote.requestId);
    if (!vote.isGranted || !request) return null;
    if (request.term !== leadingTerm || vote.term !== request.term) return null;
    if (!this.peers.includes(vote.from)) return null;
    request.confirmedBy.add(vote.from);
    if (!isMajority(request.confirmedBy.size, this.peers.length + 1)) return null;
    return request.sentMs + shortenedByDrift(EXTENSION_MS);
  }
}
