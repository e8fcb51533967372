/**
 * The term that this controller leads: tells the peers of it, collects their confirmations and their votes for an
 * extension, and publishes the leader's rights whenever one of them moves. Thrown away with the term.
 */
import type { ElectorOptions } from "./electorOptions.js";
import type { ExtensionVote, TermAcknowledgement } from "./electorMessages.js";
import { LeadershipRights } from "./leadershipRights.js";
import type { WonTerm } from "./leadershipStore.js";
import type { ExtensionRequests } from "./leaseExtension.js";
import { TermConfirmation } from "./termConfirmation.js";

/** What a term uses of its elector. */
export type OwnTermOptions = Pick<
  ElectorOptions,
  "node" | "peers" | "clock" | "send" | "leaseMs" | "onLeadershipChange"
>;

/** Owns the rights and confirmations of the term that this controller leads. */
export class OwnTerm {
  readonly term: number;
  readonly termVersion: number;
  readonly leaseId: number;
  private readonly rights: LeadershipRights;
  private readonly confirmation: TermConfirmation;

  constructor(
    won: WonTerm,
    private readonly extensionRequests: ExtensionRequests,
    private readonly options: OwnTermOptions,
  ) {
    this.term = won.term;
    this.termVersion = won.termVersion;
    this.leaseId = won.leaseId;
    this.rights = new LeadershipRights(won.leaseRequestedMs, options.leaseMs);
    this.confirmation = new TermConfirmation(options.peers.length + 1, options.leaseMs);
  }

  begin(): void {
    this.extensionRequests.clear();
    this.confirmation.confirm(this.options.node, this.options.clock.nowMs());
    this.announce();
    this.publish();
  }

  /** The state store has renewed the lease, asked at that time. */
  renewed(sentMs: number): void {
    this.rights.renew(sentMs);
    this.announce();
    this.publish();
  }

  /** Asks the peers to extend the right to acknowledge heartbeats, as the lease could not be renewed. */
  requestExtension(): void {
    const { node, peers, clock, send } = this.options;
    const { term } = this;
    const requestId = this.extensionRequests.add(term, clock.nowMs());
    for (const peer of peers) send(peer, { kind: "extension request", from: node, term, requestId });
  }

  /** Neither the state store nor a majority has given this leader any right for a while. */
  isLost(): boolean {
    return this.rights.areLost(this.options.clock.nowMs());
  }

  receiveAcknowledgement({ from, term }: TermAcknowledgement): void {
    const { peers, clock } = this.options;
    if (term !== this.term || !peers.includes(from)) return;
    if (this.confirmation.confirm(from, clock.nowMs())) this.publish();
  }

  receiveVote(vote: ExtensionVote): void {
    const extendedUntilMs = this.extensionRequests.receiveVote(vote, this.term);
    if (extendedUntilMs === null) return;
    this.rights.extend(extendedUntilMs);
    this.publish();
  }

  /** Tells all peers that have not confirmed the term of it, until a majority has. */
  private announce(): void {
    if (this.confirmation.isComplete) return;
    const { node, peers, send } = this.options;
    for (const peer of peers) {
      if (this.confirmation.isConfirmedBy(peer)) continue;
      send(peer, { kind: "term announcement", from: node, term: this.term });
    }
  }

  private publish(): void {
    const { term, termVersion, rights, confirmation } = this;
    this.options.onLeadershipChange({
      lease: {
        term,
        termVersion,
        writeUntilMs: rights.writeUntilMs,
        acknowledgeUntilMs: rights.acknowledgeUntilMs,
        earlierLeadersSilentFromMs: confirmation.earlierLeadersSilentFromMs,
      },
      leader: this.options.node,
      term,
    });
  }
}
