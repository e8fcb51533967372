/**
 * The term that this controller leads. Announces the term to the peers, collects their confirmations and extension votes,
 * and publishes the leader's rights whenever one of them changes. Is discarded when the term ends.
 */
import type { ElectorOptions } from "./electorOptions.js";
import type { ExtensionVote, TermAcknowledgement } from "./electorMessages.js";
import { LeadershipRights } from "./leadershipRights.js";
import type { WonTerm } from "./leadershipStore.js";
import type { ExtensionRequests } from "./leaseExtension.js";
import { TermConfirmation } from "./termConfirmation.js";

/** The term's dependencies. */
export type OwnTermOptions = Pick<
  ElectorOptions,
  "node" | "peers" | "clock" | "send" | "leaseMs" | "onLeadershipChange"
>;

/** Owns the rights of the term that this controller leads, and its confirmations by the peers. */
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

  /** Applies a successful renewal that was sent at `sentMs`. */
  applyRenewal(sentMs: number): void {
    this.rights.renew(sentMs);
    this.announce();
    this.publish();
  }

  /** Asks the peers to extend the right to acknowledge heartbeats after a failed renewal. */
  requestExtension(): void {
    const { node, peers, clock, send } = this.options;
    const { term } = this;
    const requestId = this.extensionRequests.add(term, clock.nowMs());
    for (const peer of peers) send(peer, { kind: "extension request", from: node, term, requestId });
  }

  /** Returns true once all rights have been expired for long enough that the leader must resign. */
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

  /** Announces the term to each peer that has not confirmed it, until a majority has. */
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
        earlierLeadershipExpiredFromMs: confirmation.earlierLeadershipExpiredFromMs,
      },
      leader: this.options.node,
      term,
    });
  }
}
