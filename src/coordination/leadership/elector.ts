/**
 * The election of the controllers' leader. A term begins with a compare-and-swap in the state store and lasts as long as
 * its lease there is renewed. In an outage of the state store a majority of the controllers may extend the right to
 * acknowledge heartbeats, never the right to write. Guards rule `ran_twice`: a new leader relies on elapsed leases only
 * from when no earlier one can have acknowledged anything, and the election says from when that is.
 */
import { log } from "../../transport/log.js";
import { Actor } from "../../transport/actor.js";
import { CheckTimer, type RandomDelay } from "./checkTimer.js";
import { stepAfterRead } from "./electionStep.js";
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

/** Renewals in one length of the lease: a few may fail before it expires. */
const RENEWALS_PER_LEASE = 4;
/** A failed renewal is tried again after this. */
const RENEWAL_RETRY_MS = 300;
/** A leader that can't keep up leaves the next terms to others for so long. */
const STEP_DOWN_PAUSE_MS = 20_000;
/** A lost campaign: whoever won it is found by the next read. */
const CAMPAIGN_RETRY: RandomDelay = { leastMs: 50, spreadMs: 150 };
/** A leader that has resigned leaves the others a head start. */
const CHECK_AFTER_RESIGNING: RandomDelay = { leastMs: 100, spreadMs: 200 };

/** Owns this controller's part in the election. Every change that others need to know goes to `onLeadershipChange`. */
export class Elector extends Actor<ElectorMessage> {
  /** Null while this controller does not lead. */
  private ownTerm: OwnTerm | null = null;
  /** One request to the state store at a time: a read, a renewal, a campaign, or the end of another one's lease. */
  private isRequestInFlight = false;
  private noCampaignUntilMs = -Infinity;
  private readonly timer: CheckTimer;
  private readonly known: KnownLeadership;
  private readonly store: LeadershipStore;
  private readonly extensionRequests: ExtensionRequests;
  private readonly suspicion = new LeaderSuspicion();
  private readonly livenessWrites = new LivenessWrites();

  constructor(private readonly options: ElectorOptions) {
    super("election");
    this.timer = new CheckTimer(options, () => this.tell({ kind: "check due" }));
    this.known = new KnownLeadership(options.node);
    this.store = new LeadershipStore(options);
    this.extensionRequests = new ExtensionRequests(options.node, options.peers);
  }

  start(): void {
    this.tell({ kind: "check due" });
  }

  /** A lease that is held is left to its expiry. */
  stop(): void {
    this.timer.stop();
  }

  protected override handle(message: ElectorMessage): void {
    switch (message.kind) {
      case "check due":
        this.checkLeadership();
        break;
      case "leadership read":
        this.leadershipRead(message.view, message.sentMs);
        break;
      case "campaign finished":
        this.campaignFinished(message.won);
        break;
      case "renewal finished":
        this.renewalFinished(message);
        break;
      case "liveness write due":
        this.writeLiveness();
        break;
      case "peer":
        this.receive(message.message);
        break;
      case "peer refused":
        this.peerRefused(message.peer, message.othersReachable);
        break;
      case "deposed":
        if (this.ownTerm?.term === message.term) this.resign("a later term has begun");
        break;
      case "lagging":
        if (this.ownTerm?.term === message.term) this.stepDown();
        break;
    }
  }

  // The check of the leadership: a renewal by the leader, a read by everybody else.

  private checkLeadership(): void {
    if (this.isRequestInFlight) return;
    this.isRequestInFlight = true;
    const sentMs = this.options.clock.nowMs();
    if (this.ownTerm) {
      const { term, leaseId } = this.ownTerm;
      void this.store
        .renew(leaseId, sentMs)
        .then((outcome) => this.tell({ kind: "renewal finished", term, outcome, sentMs }));
    } else {
      void this.store.read(sentMs).then((view) => this.tell({ kind: "leadership read", view, sentMs }));
    }
  }

  private leadershipRead(view: LeadershipView | null, sentMs: number): void {
    const { node, incarnation, clock, probeMs } = this.options;
    this.isRequestInFlight = false;
    if (!view) {
      this.timer.checkAfter(probeMs);
      return;
    }
    const { record } = view;
    this.known.hasBeenRead = true;
    this.known.observeTerm(view.term);
    this.observeLeader(record?.node ?? null, record?.term ?? 0);
    const step = stepAfterRead(record, {
      node,
      incarnation,
      isLeaderSuspected: record !== null && this.isSuspected(record, view.revision, sentMs),
      isCampaignPaused: clock.nowMs() < this.noCampaignUntilMs,
    });
    switch (step.kind) {
      case "wait":
        this.timer.checkAfter(probeMs);
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
    log.info(`ending the lease of term ${record.term}: ${reason}`);
    void this.store.endLease(record.leaseId).then(() => {
      this.isRequestInFlight = false;
      this.tell({ kind: "check due" });
    });
  }

  private observeLeader(node: string | null, term: number): void {
    if (!this.known.observeLeader(node, term)) return;
    this.options.onLeadershipChange({ lease: null, leader: this.known.leader.node, term });
  }

  // From candidate to leader, and back.

  private campaign(view: LeadershipView): void {
    this.isRequestInFlight = true;
    void this.store.campaign(view, (won) => this.tell({ kind: "campaign finished", won }));
  }

  private campaignFinished(won: WonTerm | null): void {
    this.isRequestInFlight = false;
    if (!won) {
      this.timer.checkAfterRandom(CAMPAIGN_RETRY);
      return;
    }
    this.known.lead(won.term);
    this.ownTerm = new OwnTerm(won, this.extensionRequests, this.options);
    log.info(`leading term ${won.term}`);
    this.ownTerm.begin();
    this.timer.checkAfter(this.options.leaseMs / RENEWALS_PER_LEASE);
  }

  private renewalFinished({ term, outcome, sentMs }: RenewalResult): void {
    const { ownTerm } = this;
    this.isRequestInFlight = false;
    if (ownTerm?.term !== term) {
      this.timer.checkAfter(0);
      return;
    }
    switch (outcome) {
      case "ok":
        ownTerm.renewed(sentMs);
        this.timer.checkAfter(this.options.leaseMs / RENEWALS_PER_LEASE);
        break;
      case "ended":
        this.resign("the leadership lease has ended");
        break;
      case "failed":
        this.renewalFailed(ownTerm);
        break;
    }
  }

  /** Refused or no answer: perhaps an outage. The peers are asked in time, before the lease expires. */
  private renewalFailed(ownTerm: OwnTerm): void {
    ownTerm.requestExtension();
    if (ownTerm.isLost()) this.resign("the leadership lease has run out and no quorum extends it");
    else this.timer.checkAfter(RENEWAL_RETRY_MS);
  }

  private stepDown(): void {
    this.noCampaignUntilMs = this.options.clock.nowMs() + STEP_DOWN_PAUSE_MS;
    this.resign("this node is overloaded, others are not");
  }

  private resign(reason: string): void {
    if (!this.ownTerm) return;
    const { term, leaseId } = this.ownTerm;
    log.info(`no longer leading term ${term}: ${reason}`);
    this.ownTerm = null;
    this.known.resign();
    this.options.onLeadershipChange({ lease: null, leader: null, term: 0 });
    void this.store.endLease(leaseId);
    this.timer.checkAfterRandom(CHECK_AFTER_RESIGNING);
  }

  // Messages from the other controllers.

  private receive(message: ElectionPeerMessage): void {
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

  /** From now on this controller confirms no extension of an earlier term: `mayConfirmExtension` looks at the newest one known. */
  private receiveAnnouncement({ from, term }: TermAnnouncement): void {
    const { node, send } = this.options;
    this.known.observeTerm(term);
    if (term === this.known.term && !this.ownTerm) this.observeLeader(from, term);
    if (term >= this.known.term) send(from, { kind: "term acknowledgement", from: node, term });
    if (this.ownTerm && term > this.ownTerm.term) this.resign(`${from} leads term ${term}`);
  }

  private answerExtensionRequest({ from, term, requestId }: ExtensionRequest): void {
    const { node, clock, send, stateStore } = this.options;
    const isGranted =
      this.ownTerm === null &&
      mayConfirmExtension({
        nowMs: clock.nowMs(),
        hasReadLeadership: this.known.hasBeenRead,
        lastServedSentMs: stateStore.lastServedSentMs,
        lastRefusedMs: stateStore.lastRefusedMs,
        knownTerm: this.known.term,
        requestedTerm: term,
      });
    send(from, { kind: "extension vote", from: node, term, requestId, isGranted });
  }

  // Hosts that refuse connections.

  /**
   * Only a suspicion (a host without free sockets refuses, too), so nothing is concluded from it but that a new term may
   * begin early: what the old leader may still do is as bounded as ever, by conditions on writes, fencing tokens and times.
   */
  private peerRefused(peer: string, othersReachable: boolean): void {
    const nowMs = this.options.clock.nowMs();
    if (this.ownTerm) {
      // When all hosts refuse, the others see this one refuse as well, and may suspect it.
      if (!othersReachable && this.livenessWrites.prolong(nowMs)) this.writeLiveness();
      return;
    }
    const { node, term } = this.known.leader;
    if (peer !== node) return;
    this.suspicion.raise({ leader: peer, term, othersReachable, sinceMs: nowMs });
    this.timer.checkAfter(0);
  }

  /** Writes the leadership record anew, now and a few times more. */
  private writeLiveness(): void {
    const { clock } = this.options;
    const nowMs = clock.nowMs();
    if (this.timer.isStopped || !this.ownTerm || !this.livenessWrites.areDue(nowMs)) return;
    this.store.writeLiveness(this.ownTerm, nowMs);
    clock.after(LIVENESS_WRITE_MS, () => this.tell({ kind: "liveness write due" }));
  }
}
