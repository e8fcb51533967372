/**
 * Extension of a leader's right to acknowledge heartbeats while the state store refuses everybody. An outage of the store
 * must not cost running tasks, so a majority of the controllers may confirm that the leader goes on, for a short time and
 * without the right to write.
 */
import { shortenedByDrift } from "../term/clockDrift.js";
import type { ExtensionVote } from "./electorMessages.js";
import { isMajority } from "./quorum.js";

/** An extension counts for so long, from when it was asked for. */
export const EXTENSION_MS = 2000;
/** A controller confirms an extension only if the state store refused it this recently, and served it no later than that. */
const REFUSED_WITHIN_MS = 1500;

/** What a controller knows when it is asked to confirm an extension. */
export interface ExtensionFacts {
  nowMs: number;
  /** This process has read the leadership from the state store at least once. */
  hasReadLeadership: boolean;
  lastServedSentMs: number;
  lastRefusedMs: number;
  /** The latest term that this controller knows of. */
  knownTerm: number;
  requestedTerm: number;
}

/** May this controller confirm that the state store refuses everybody, and that it knows of no later term? */
export function mayConfirmExtension(facts: ExtensionFacts): boolean {
  return (
    // A restarted controller knows nothing until it has read the state store.
    facts.hasReadLeadership &&
    facts.knownTerm <= facts.requestedTerm &&
    facts.lastRefusedMs > facts.lastServedSentMs &&
    facts.nowMs - facts.lastRefusedMs <= REFUSED_WITHIN_MS
  );
}

interface OpenRequest {
  sentMs: number;
  term: number;
  confirmedBy: Set<string>;
}

/** A leader's requests for extension, and the votes that came in for each. */
export class ExtensionRequests {
  /** Counted on over the terms of one process, so that no vote is taken for an answer to another request. */
  private lastRequestId = 0;
  private readonly open = new Map<number, OpenRequest>();

  constructor(
    private readonly node: string,
    private readonly peers: readonly string[],
  ) {}

  /** A term begins: votes for requests of an earlier one count no more. */
  clear(): void {
    this.open.clear();
  }

  /** Opens a request that this controller itself confirms, drops those that are too old; returns its id. */
  add(term: number, sentMs: number): number {
    const requestId = ++this.lastRequestId;
    this.open.set(requestId, { sentMs, term, confirmedBy: new Set([this.node]) });
    for (const [otherId, other] of this.open)
      if (sentMs - other.sentMs > EXTENSION_MS) this.open.delete(otherId);
    return requestId;
  }

  /** Counts a vote for the leader of that term. Returns the extension's end once a majority confirms it, or else null. */
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
