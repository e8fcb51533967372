/**
 * Leader election among the controllers. A term begins with a compare-and-swap in the state store and lasts as long as
 * its lease is renewed there. During an outage of the state store a majority of the controllers may extend the leader's
 * right to acknowledge heartbeats, but never its right to write. Enforces rule `ran_twice`: a new leader counts worker
 * leases from the time after which no earlier leader can have acknowledged a heartbeat. The election publishes that time.
 */
import { log, quoteName } from "../../transport/log.js";
import { Actor } from "../../transport/actor.js";
import { CheckTimer, type RandomDelay } from "./checkTimer.js";
import { decideElectionStep } from "./electionStep.js";
import type {
  ElectionPeerMessage,
  ElectorMessage,
  ExtensionRequest,
  RenewalResult,
  TermAnnouncement,
} from "./electorMessages.js";
import type { ElectorOptions } from "./electorOptions.js";
import { KnownLeadership } from "./knownLeadership.js";
import { LeaderSuspicion, LIVENESS_WRITE_MS } from "./leaderSuspicion.js";
import type { LeadershipRecord, LeadershipView } from "./leadershipRecord.js";
import { LeadershipStore, type WonTerm } from "./leadershipStore.js";
import { ExtensionRequests, mayConfirmExtension } from "./leaseExtension.js";
import { LivenessWrites } from "./livenessWrites.js";
import { OwnTerm } from "./ownTerm.js";

/** The leader sends this many renewals per lease duration, so that a few may fail before the lease expires. */
const RENEWALS_PER_LEASE = 4;
/** Delay before a failed renewal is retried. */
const RENEWAL_RETRY_MS = 300;
/** After stepping down because of overload, a controller does not campaign for this long. */
const STEP_DOWN_PAUSE_MS = 20_000;
/** Delay between a lost campaign and the next read, which finds the winner. */
const CAMPAIGN_RETRY: RandomDelay = { minMs: 50, jitterMs: 150 };
/** Delay between resigning and the next read, so that the other controllers can campaign first. */
const CHECK_AFTER_RESIGNING: RandomDelay = { minMs: 100, jitterMs: 200 };

/** Runs this controller's part of the election and reports changes of leader and lease to `onLeadershipChange`. */
export class Elector extends Actor<ElectorMessage> {
  /** The term that this controller leads, or null if it does not lead. */
  private ownTerm: OwnTerm | null = null;
  /** True while a read, a renewal, a campaign or the end of another leader's lease is in flight: one at a time. */
  private isRequestInFlight = false;
  private campaignPausedUntilMs = -Infinity;
  private readonly timer: CheckTimer;
  private readonly known: KnownLeadership;
  private readonly store: LeadershipStore;
  private readonly extensionRequests: ExtensionRequests;
  private readonly suspicion = new LeaderSuspicion();
  private readonly livenessWrites = new LivenessWrites();

  constructor(private readonly options: ElectorOptions) {
    super("election");
    this.timer = new CheckTimer(options, () => this.post({ kind: "check due" }));
    this.known = new KnownLeadership(options.node);
    this.store = new LeadershipStore(options);
    this.extensionRequests = new ExtensionRequests(options.node, options.peers);
  }

  start(): void {
    this.post({ kind: "check due" });
  }

  /** Stops the timer. A lease that this controller holds is not ended early but expires. */
  stop(): void {
    this.timer.stop();
  }

  protected override handle(message: ElectorMessage): void {
    switch (message.kind) {
      case "check due":
        this.checkLeadership();
        break;
      case "leadership read":
        this.handleLeadershipRead(message.view, message.sentMs);
        break;
      case "campaign finished":
        this.handleCampaignResult(message.won);
        break;
      case "renewal finished":
        this.handleRenewalResult(message);
        break;
      case "liveness write due":
        this.writeLiveness();
        break;
      case "peer":
        this.receivePeerMessage(message.message);
        break;
      case "peer refused":
        this.handlePeerRefusal(message.peer, message.othersReachable);
        break;
      case "deposed":
        if (this.ownTerm?.term === message.term) this.resign("a later term has begun");
        break;
      case "lagging":
        if (this.ownTerm?.term === message.term) this.stepDown();
        break;
    }
  }

  // Leadership checks: the leader renews its lease, every other controller reads the leadership record.

  private checkLeadership(): void {
    if (this.isRequestInFlight) return;
    this.isRequestInFlight = true;
    const sentMs = this.options.clock.nowMs();
    if (this.ownTerm) {
      const { term, leaseId } = this.ownTerm;
      void this.store
        .renew(leaseId, sentMs)
        .then((outcome) => this.post({ kind: "renewal finished", term, outcome, sentMs }));
    } else {
      void this.store.read(sentMs).then((view) => this.post({ kind: "leadership read", view, sentMs }));
    }
  }

  private handleLeadershipRead(view: LeadershipView | null, sentMs: number): void {
    const { node, incarnation, clock, pollIntervalMs } = this.options;
    this.isRequestInFlight = false;
    if (!view) {
      this.timer.checkAfter(pollIntervalMs);
      return;
    }
    const { record } = view;
    this.known.hasReadLeadership = true;
    this.known.observeTerm(view.term);
    this.observeLeader(record?.node ?? null, record?.term ?? 0);
    const step = decideElectionStep(record, {
      node,
      incarnation,
      isLeaderSuspected: record !== null && this.isSuspected(record, view.revision, sentMs),
      isCampaignPaused: clock.nowMs() < this.campaignPausedUntilMs,
    });
    switch (step.kind) {
      case "wait":
        this.timer.checkAfter(pollIntervalMs);
        break;
      case "campaign":
        this.campaign(view);
        break;
      case "end lease":
        this.endLease(step.record, step.reason);
        break;
    }
  }

  private isSuspected(record: LeadershipRecord, revision: number, sentMs: number): boolean {
    const read = { leader: record.node, term: record.term, revision, sentMs };
    return this.suspicion.isConfirmedBy(read, this.options.clock.nowMs());
  }

  private endLease(record: LeadershipRecord, reason: string): void {
    this.isRequestInFlight = true;
    log.info(`ending the leadership lease of term ${record.term}: ${reason}`);
    void this.store.endLease(record.leaseId).then(() => {
      this.isRequestInFlight = false;
      this.post({ kind: "check due" });
    });
  }

  private observeLeader(node: string | null, term: number): void {
    if (!this.known.observeLeader(node, term)) return;
    this.options.onLeadershipChange({ lease: null, leader: this.known.leader.node, term });
  }

  // Campaigning, leading and resigning.

  private campaign(view: LeadershipView): void {
    this.isRequestInFlight = true;
    void this.store.campaign(view, (won) => this.post({ kind: "campaign finished", won }));
  }

  private handleCampaignResult(won: WonTerm | null): void {
    this.isRequestInFlight = false;
    if (!won) {
      this.timer.checkAfterRandom(CAMPAIGN_RETRY);
      return;
    }
    this.known.lead(won.term);
    this.ownTerm = new OwnTerm(won, this.extensionRequests, this.options);
    log.info(`became leader of term ${won.term}`);
    this.ownTerm.begin();
    this.timer.checkAfter(this.options.leaseMs / RENEWALS_PER_LEASE);
  }

  private handleRenewalResult({ term, outcome, sentMs }: RenewalResult): void {
    const { ownTerm } = this;
    this.isRequestInFlight = false;
    if (ownTerm?.term !== term) {
      this.timer.checkAfter(0);
      return;
    }
    switch (outcome) {
      case "ok":
        ownTerm.applyRenewal(sentMs);
        this.timer.checkAfter(this.options.leaseMs / RENEWALS_PER_LEASE);
        break;
      case "ended":
        this.resign("the state store has ended the leadership lease");
        break;
      case "failed":
        this.handleRenewalFailure(ownTerm);
        break;
    }
  }

  /** Requests an extension before the lease expires, because a refused or unanswered renewal may mean an outage. */
  private handleRenewalFailure(ownTerm: OwnTerm): void {
    ownTerm.requestExtension();
    if (ownTerm.isLost()) this.resign("the leadership lease expired and no quorum extended it");
    else this.timer.checkAfter(RENEWAL_RETRY_MS);
  }

  private stepDown(): void {
    this.campaignPausedUntilMs = this.options.clock.nowMs() + STEP_DOWN_PAUSE_MS;
    this.resign("this controller is overloaded and another one is not");
  }

  private resign(reason: string): void {
    if (!this.ownTerm) return;
    const { term, leaseId } = this.ownTerm;
    log.info(`resigned as leader of term ${term}: ${reason}`);
    this.ownTerm = null;
    this.known.resign();
    this.options.onLeadershipChange({ lease: null, leader: null, term: 0 });
    void this.store.endLease(leaseId);
    this.timer.checkAfterRandom(CHECK_AFTER_RESIGNING);
  }

  // Messages from the other controllers.

  private receivePeerMessage(message: ElectionPeerMessage): void {
    switch (message.kind) {
      case "term announcement":
        this.receiveAnnouncement(message);
        break;
      case "term acknowledgement":
        this.ownTerm?.receiveAcknowledgement(message);
        break;
      case "extension request":
        this.answerExtensionRequest(message);
        break;
      case "extension vote":
        this.ownTerm?.receiveVote(message);
        break;
    }
  }

  /** Records the announced term, after which `mayConfirmExtension` confirms no extension of an earlier term. */
  private receiveAnnouncement({ from, term }: TermAnnouncement): void {
    const { node, send } = this.options;
    this.known.observeTerm(term);
    if (term === this.known.term && !this.ownTerm) this.observeLeader(from, term);
    if (term >= this.known.term) send(from, { kind: "term acknowledgement", from: node, term });
    if (this.ownTerm && term > this.ownTerm.term) this.resign(`${quoteName(from)} leads term ${term}`);
  }

  private answerExtensionRequest({ from, term, requestId }: ExtensionRequest): void {
    const { node, clock, send, stateStore } = this.options;
    const isGranted =
      this.ownTerm === null &&
      mayConfirmExtension({
        nowMs: clock.nowMs(),
        hasReadLeadership: this.known.hasReadLeadership,
        lastServedRequestSentMs: stateStore.lastServedRequestSentMs,
        lastRefusedMs: stateStore.lastRefusedMs,
        knownTerm: this.known.term,
        requestedTerm: term,
      });
    send(from, { kind: "extension vote", from: node, term, requestId, isGranted });
  }

  // Refused connections.

  /**
   * A refused connection only raises a suspicion, because a host without free sockets refuses as well. Its only effect is
   * that a new term may begin early: write conditions, fencing tokens and lease times still bound the old leader.
   */
  private handlePeerRefusal(peer: string, othersReachable: boolean): void {
    const nowMs = this.options.clock.nowMs();
    if (this.ownTerm) {
      // When all hosts refuse connections, the other controllers see this host refuse as well and may suspect it.
      if (!othersReachable && this.livenessWrites.extend(nowMs)) this.writeLiveness();
      return;
    }
    const { node, term } = this.known.leader;
    if (peer !== node) return;
    this.suspicion.raise({ leader: peer, term, othersReachable, sinceMs: nowMs });
    this.timer.checkAfter(0);
  }

  /** Rewrites the leadership record, and repeats this every `LIVENESS_WRITE_MS` while liveness writes are active. */
  private writeLiveness(): void {
    const { clock } = this.options;
    const nowMs = clock.nowMs();
    if (this.timer.isStopped || !this.ownTerm || !this.livenessWrites.isActive(nowMs)) return;
    this.store.writeLiveness(this.ownTerm, nowMs);
    clock.after(LIVENESS_WRITE_MS, () => this.post({ kind: "liveness write due" }));
  }
}
