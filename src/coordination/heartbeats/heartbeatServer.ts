/**
 * The heartbeat server of each controller: responds to workers' heartbeats by the leader's grants, or as leader by its own
 * lease, and sends the leader every heartbeat that it has acknowledged. Here are its mailbox, its timers and the order of
 * effects; rights, decisions, batches and balancing are in modules of their own.
 */
import type { Heartbeat } from "../../protocol/model.js";
import type { Grant } from "../../protocol/peers/messages.js";
import { encodeHeartbeatResponse, encodeRedirect } from "../../protocol/workers.js";
import { Actor } from "../../transport/actor.js";
import type { Timer } from "../../transport/clock.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import { firstFencingToken } from "../term/fencingTokens.js";
import type { LeadershipChange } from "../term/leadershipLease.js";
import { AcknowledgementRights, type HeartbeatServerLimits } from "./acknowledgementRights.js";
import { ConfirmedCancellations } from "./confirmedCancellations.js";
import { isUnchanged } from "./heartbeatComparison.js";
import { decideOnHeartbeat, type ServedTerm } from "./heartbeatDecision.js";
import type { HeartbeatServerMessage, HeartbeatServerOptions } from "./heartbeatServerOptions.js";
import { HeartbeatUpdates } from "./heartbeatUpdates.js";
import { ServedWorkers } from "./servedWorkers.js";
import { WorkerBalancer } from "./workerBalancer.js";

const STATUS_OK = 200;
/** The worker should send its heartbeats to the controller that the body names. */
const STATUS_REDIRECT = 421;
/** The worker should try the next controller. */
const STATUS_UNAVAILABLE = 503;

const TICK_MS = 500;
/** Changes wait this long so that they share a frame: each frame wakes this process and the leader's. */
const BATCH_CHANGES_MS = 40;
/** For so long a new leader has most to do. */
const NEW_LEADER_MS = 8000;

/**
 * Responds to workers' heartbeats. A response with status 200 renews a worker's lease, so it is given only while this
 * controller has the right, and the leader is sent every heartbeat that got one, for its proofs by lease expiry count on
 * that (rule `ran_twice`). The responses carry no commands: those come from the leader alone, by deliveries.
 */
export class HeartbeatServer extends Actor<HeartbeatServerMessage> {
  private readonly served: ServedTerm;
  private readonly rights: AcknowledgementRights;
  private readonly workers: ServedWorkers;
  private readonly updates: HeartbeatUpdates;
  private readonly balancer: WorkerBalancer;
  private readonly confirmedCancellations: ConfirmedCancellations;
  /** The other controllers of our zone. */
  private readonly neighbours: string[];
  private hasBeenGranted = false;
  /** Runs until its message has been handled; null: no flush is due. */
  private flushTimer: Timer | null = null;
  private tickTimer: Timer | null = null;
  private isStopped = false;

  constructor(private readonly options: HeartbeatServerOptions) {
    super("heartbeat server");
    const { node, zone, zones, incarnation, lagMs } = options;
    this.served = { node, term: 0, leader: null, sinceMs: -Infinity };
    this.rights = new AcknowledgementRights(zone);
    this.workers = new ServedWorkers(options.heartbeatS);
    this.confirmedCancellations = new ConfirmedCancellations(options.cancellationRetentionMs);
    const cancellations = this.confirmedCancellations;
    this.updates = new HeartbeatUpdates({ node, incarnation, cancellations, lagMs });
    this.balancer = new WorkerBalancer(node, zones);
    this.neighbours = [...zones]
      .filter(([other, otherZone]) => other !== node && otherZone === zone)
      .map(([other]) => other);
  }

  /** Begins to tick; before that nothing is sent by the clock. */
  start(): void {
    this.tell({ kind: "tick" });
  }

  /** Ends the timers; nothing is sent to the leader any more. */
  stop(): void {
    this.isStopped = true;
    this.tickTimer?.cancel();
    this.flushTimer?.cancel();
  }

  /** Workers that lately sent their heartbeats here. */
  get workerCount(): number {
    return this.workers.workerCount;
  }

  protected override failed(message: HeartbeatServerMessage, error: unknown): void {
    super.failed(message, error);
    if (message.kind === "heartbeat") message.reply({ status: STATUS_UNAVAILABLE, body: {} });
  }

  protected override handle(message: HeartbeatServerMessage): void {
    switch (message.kind) {
      case "election":
        this.applyElection(message.change);
        break;
      case "heartbeat":
        this.receiveHeartbeat(message.heartbeat, message.reply);
        break;
      case "grant":
        this.applyGrant(message.grant);
        break;
      case "servers":
        // Followers get them with their grants.
        if (this.rights.isLeader) this.balancer.setServers(message.servers);
        break;
      case "limits":
        this.applyLimits(message.limits);
        break;
      case "cancellation confirmed":
        this.cancellationConfirmed(message.id, message.at);
        break;
      case "isolated":
        if (message.term === this.served.term && this.neighbours.includes(message.from))
          this.rights.noteNeighbourIsolated(this.options.clock.nowMs());
        break;
      case "flush":
        this.flushTimer = null;
        this.flush();
        break;
      case "tick":
        this.tick();
        break;
    }
  }

  private applyElection({ lease, leader, term }: LeadershipChange): void {
    const { rights, served } = this;
    const ledTerm = rights.ledTerm;
    rights.setLease(lease);
    served.leader = leader;
    if (lease) {
      if (ledTerm !== lease.term) this.beginTerm(lease.term);
      rights.noteLeaseEnd(lease);
    } else if (leader !== null && term > served.term) {
      this.beginTerm(term);
    }
    // Without a leader a grant is used to its end: the leader that issued it counted on that.
  }

  /** The new term's leader knows nothing of our workers: it is sent all of them. */
  private beginTerm(term: number): void {
    const nowMs = this.options.clock.nowMs();
    this.served.term = term;
    this.served.sinceMs = nowMs;
    this.rights.drop();
    this.updates.beginTerm();
    this.balancer.setServers([]);
    this.confirmedCancellations.beginTerm();
    this.updates.resync(this.workers.forResync(nowMs));
    this.flush();
  }

  private applyLimits(limits: HeartbeatServerLimits): void {
    if (this.rights.ledTerm !== limits.term) return;
    this.rights.applyLimits(limits);
    this.confirmedCancellations.acknowledgeUpTo(limits.cancellationSeq);
    this.noteFirstGrant();
  }

  private applyGrant(grant: Grant): void {
    if (!this.isForUs(grant)) return;
    const nowMs = this.options.clock.nowMs();
    if (grant.resync && this.updates.noteResync(grant.issuedAtMs)) {
      this.updates.resync(this.workers.forResync(nowMs));
      this.flushSoon();
    }
    if (!this.rights.applyGrant(grant, nowMs)) return;
    this.updates.noteGrant(grant.issuedAtMs);
    this.confirmedCancellations.acknowledgeUpTo(grant.cancellationSeq);
    this.balancer.setServers(grant.servers);
    this.noteFirstGrant();
  }

  /** Only a grant that this very process has requested, from this term's leader. */
  private isForUs(grant: Grant): boolean {
    return (
      !this.rights.isLeader &&
      grant.term === this.served.term &&
      grant.from === this.served.leader &&
      grant.incarnation === this.options.incarnation
    );
  }

  private noteFirstGrant(): void {
    if (this.hasBeenGranted || this.options.clock.nowMs() >= this.rights.untilMs) return;
    this.hasBeenGranted = true;
    this.options.onFirstGrant();
  }

  private cancellationConfirmed(id: string, at: Date): void {
    const isNew = this.confirmedCancellations.add(id, at, this.options.clock.nowMs());
    // At once: the leader may have starts of it under way, or be unable to read it.
    if (isNew) this.flush();
  }

  private receiveHeartbeat(heartbeat: Heartbeat, reply: (response: ServerResponse) => void): void {
    const nowMs = this.options.clock.nowMs();
    const known = this.workers.get(heartbeat.machine);
    const decision = decideOnHeartbeat(heartbeat, known, this.rights, this.served, nowMs);
    switch (decision.kind) {
      case "refuse":
        reply({ status: STATUS_UNAVAILABLE, body: {} });
        break;
      case "redirect":
        reply({ status: STATUS_REDIRECT, body: encodeRedirect(decision.to) });
        break;
      case "deposed":
        this.rights.drop();
        this.options.onLaterTerm(this.served.term);
        reply({ status: STATUS_UNAVAILABLE, body: {} });
        break;
      case "acknowledge": {
        this.balancer.noteReturn(heartbeat.machine, nowMs);
        const to = decision.byZoneLease ? null : this.redirectTarget(heartbeat, known !== undefined, nowMs);
        if (to === null) {
          const body = encodeHeartbeatResponse(this.fencingTokenFor(heartbeat), []);
          reply({ status: STATUS_OK, body });
          this.recordAcknowledged(heartbeat, known, nowMs);
        } else {
          this.workers.forget(heartbeat.machine);
          reply({ status: STATUS_REDIRECT, body: encodeRedirect(to) });
        }
        break;
      }
    }
  }

  /** The token that a response carries: at least this term's first one, so that older leaders' commands are refused. */
  private fencingTokenFor(heartbeat: Heartbeat): number {
    return Math.max(firstFencingToken(this.served.term), heartbeat.fencingToken);
  }

  /** Another controller that this worker should go to; null: it stays. */
  private redirectTarget(heartbeat: Heartbeat, isKnown: boolean, nowMs: number): string | null {
    return this.balancer.redirectTarget(heartbeat, {
      isKnown,
      leader: this.served.leader,
      leaderIsNew: nowMs - this.served.sinceMs < NEW_LEADER_MS,
      lagMs: this.options.lagMs(),
      nowMs,
    });
  }

  /** Has the leader sent what was acknowledged: by a leader itself at once, otherwise soon if it says something new. */
  private recordAcknowledged(heartbeat: Heartbeat, known: Heartbeat | undefined, nowMs: number): void {
    const isSame = known !== undefined && isUnchanged(known, heartbeat);
    const worker = this.workers.record(heartbeat, nowMs);
    const isPlainRenewal = isSame && !this.updates.isChanged(heartbeat.machine);
    if (isPlainRenewal) this.updates.addUnchanged(heartbeat);
    else this.updates.addChanged(worker);
    if (this.rights.isLeader) this.flush();
    else if (!isPlainRenewal) this.flushSoon();
  }

  private flushSoon(): void {
    if (this.flushTimer !== null || this.isStopped) return;
    this.flushTimer = this.options.clock.after(BATCH_CHANGES_MS, () => this.tell({ kind: "flush" }));
  }

  /** Sends the leader what it does not know; also without anything new, as the request for the next grant. */
  private flush(): void {
    const { leader, term } = this.served;
    if (this.isStopped || leader === null || term === 0) return;
    const updates = this.updates.take(term, this.workers.workerCount, this.options.clock.nowMs());
    for (const update of updates) {
      if (this.rights.isLeader) this.options.sendToLocalLeader(update);
      else this.options.sendToLeader(leader, update);
    }
  }

  private tick(): void {
    if (this.isStopped) return;
    this.tickTimer = this.options.clock.after(TICK_MS, () => this.tell({ kind: "tick" }));
    const nowMs = this.options.clock.nowMs();
    this.workers.expire(nowMs);
    this.confirmedCancellations.expire(nowMs);
    this.balancer.forgetOld(nowMs);
    if (!this.rights.isLeader) this.flush();
    if (this.rights.isIsolated(nowMs)) this.announceIsolation();
  }

  private announceIsolation(): void {
    const { node, term } = this.served;
    for (const neighbour of this.neighbours)
      this.options.sendToNeighbour(neighbour, { kind: "isolated", from: node, term });
  }
}
