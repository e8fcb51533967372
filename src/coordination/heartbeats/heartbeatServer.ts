/**
 * The heartbeat server of a controller. It responds to workers' heartbeats under the leader's grants, or under its own
 * lease if it leads, and reports every acknowledged heartbeat to the leader. This module holds the mailbox, the timers and
 * the order of effects; separate modules hold rights, decisions, batching and balancing.
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
import { decideOnHeartbeat, type CurrentTerm } from "./heartbeatDecision.js";
import type { HeartbeatServerMessage, HeartbeatServerOptions } from "./heartbeatServerOptions.js";
import { HeartbeatUpdates } from "./heartbeatUpdates.js";
import { ServedWorkers } from "./servedWorkers.js";
import { WorkerBalancer } from "./workerBalancer.js";

const STATUS_OK = 200;
/** Tells the worker to send its heartbeats to the controller named in the body. */
const STATUS_REDIRECT = 421;
/** Tells the worker to try the next controller. */
const STATUS_UNAVAILABLE = 503;

const TICK_MS = 500;
/** Changes are batched for this long, because each frame wakes up this process and the leader's. */
const CHANGE_BATCH_DELAY_MS = 40;
/** Period after the start of a term in which the leader is busiest and takes a smaller share of the workers. */
const NEW_LEADER_PERIOD_MS = 8000;

/**
 * Responds to workers' heartbeats. A response with status 200 renews a worker's lease, so it is sent only while this
 * controller has the right to acknowledge. Every acknowledged heartbeat is reported to the leader, whose proofs by lease
 * expiry rely on that (rule `ran_twice`). Responses carry no commands: only the leader issues those, as deliveries.
 */
export class HeartbeatServer extends Actor<HeartbeatServerMessage> {
  private readonly currentTerm: CurrentTerm;
  private readonly rights: AcknowledgementRights;
  private readonly workers: ServedWorkers;
  private readonly updates: HeartbeatUpdates;
  private readonly balancer: WorkerBalancer;
  private readonly confirmedCancellations: ConfirmedCancellations;
  /** Names of the other controllers in the same zone. */
  private readonly zonePeers: string[];
  /** Whether this process has ever had the right to acknowledge heartbeats. */
  private hasBeenGranted = false;
  /** Timer of the scheduled flush, until its message has been handled; null if no flush is scheduled. */
  private flushTimer: Timer | null = null;
  private tickTimer: Timer | null = null;
  private isStopped = false;

  constructor(private readonly options: HeartbeatServerOptions) {
    super("heartbeat server");
    const { node, zone, controllerZones, incarnation, lagMs } = options;
    this.currentTerm = { node, term: 0, leader: null, firstSeenMs: -Infinity };
    this.rights = new AcknowledgementRights(zone);
    this.workers = new ServedWorkers(options.heartbeatS);
    this.confirmedCancellations = new ConfirmedCancellations(options.cancellationRetentionMs);
    const cancellations = this.confirmedCancellations;
    this.updates = new HeartbeatUpdates({ node, incarnation, cancellations, lagMs });
    this.balancer = new WorkerBalancer(node, controllerZones);
    this.zonePeers = [...controllerZones]
      .filter(([other, otherZone]) => other !== node && otherZone === zone)
      .map(([other]) => other);
  }

  /** Starts the periodic tick; no timer runs before that. */
  start(): void {
    this.post({ kind: "tick" });
  }

  /** Cancels the timers; no further updates are sent to the leader. */
  stop(): void {
    this.isStopped = true;
    this.tickTimer?.cancel();
    this.flushTimer?.cancel();
  }

  /** Number of workers that recently sent heartbeats to this controller. */
  get workerCount(): number {
    return this.workers.workerCount;
  }

  protected override handleError(message: HeartbeatServerMessage, error: unknown): void {
    super.handleError(message, error);
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
        // Followers receive the list with their grants.
        if (this.rights.isLeader) this.balancer.setServers(message.servers);
        break;
      case "limits":
        this.applyLimits(message.limits);
        break;
      case "cancellation confirmed":
        this.recordCancellation(message.id, message.at);
        break;
      case "isolated":
        if (message.term === this.currentTerm.term && this.zonePeers.includes(message.from))
          this.rights.recordZonePeerIsolated(this.options.clock.nowMs());
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
    const { rights, currentTerm } = this;
    const ledTerm = rights.ledTerm;
    rights.setLease(lease);
    currentTerm.leader = leader;
    if (lease) {
      if (ledTerm !== lease.term) this.beginTerm(lease.term);
      rights.recordLeaseEnd(lease);
    } else if (leader !== null && term > currentTerm.term) {
      this.beginTerm(term);
    }
    // While there is no leader, a grant is used to its end, as the leader that issued it expects.
  }

  /** Resets the state of the previous term, and sends all workers to the new leader, which does not know them yet. */
  private beginTerm(term: number): void {
    const nowMs = this.options.clock.nowMs();
    this.currentTerm.term = term;
    this.currentTerm.firstSeenMs = nowMs;
    this.rights.revokeAll();
    this.updates.beginTerm();
    this.balancer.setServers([]);
    this.confirmedCancellations.beginTerm();
    this.updates.resync(this.workers.workersToResync(nowMs));
    this.flush();
  }

  private applyLimits(limits: HeartbeatServerLimits): void {
    if (this.rights.ledTerm !== limits.term) return;
    this.rights.applyLimits(limits);
    this.confirmedCancellations.acknowledgeUpTo(limits.cancellationSeq);
    this.reportFirstGrant();
  }

  private applyGrant(grant: Grant): void {
    if (!this.isGrantForThisProcess(grant)) return;
    const nowMs = this.options.clock.nowMs();
    if (grant.resync && this.updates.acceptResync(grant.issuedAtMs)) {
      this.updates.resync(this.workers.workersToResync(nowMs));
      this.flushSoon();
    }
    if (!this.rights.applyGrant(grant, nowMs)) return;
    this.updates.recordGrant(grant.issuedAtMs);
    this.confirmedCancellations.acknowledgeUpTo(grant.cancellationSeq);
    this.balancer.setServers(grant.servers);
    this.reportFirstGrant();
  }

  /** Whether this follower process requested the grant, and this term's leader issued it. */
  private isGrantForThisProcess(grant: Grant): boolean {
    return (
      !this.rights.isLeader &&
      grant.term === this.currentTerm.term &&
      grant.from === this.currentTerm.leader &&
      grant.incarnation === this.options.incarnation
    );
  }

  private reportFirstGrant(): void {
    if (this.hasBeenGranted || this.options.clock.nowMs() >= this.rights.acknowledgeUntilMs) return;
    this.hasBeenGranted = true;
    this.options.onFirstGrant();
  }

  private recordCancellation(id: string, at: Date): void {
    const isNew = this.confirmedCancellations.add(id, at, this.options.clock.nowMs());
    // The leader may be starting tasks of the job, or be unable to read the record, so the update is sent at once.
    if (isNew) this.flush();
  }

  private receiveHeartbeat(heartbeat: Heartbeat, reply: (response: ServerResponse) => void): void {
    const nowMs = this.options.clock.nowMs();
    const known = this.workers.get(heartbeat.machine);
    const decision = decideOnHeartbeat(heartbeat, known, this.rights, this.currentTerm, nowMs);
    switch (decision.kind) {
      case "refuse":
        reply({ status: STATUS_UNAVAILABLE, body: {} });
        break;
      case "redirect":
        reply({ status: STATUS_REDIRECT, body: encodeRedirect(decision.to) });
        break;
      case "deposed":
        this.rights.revokeAll();
        this.options.onLaterTerm(this.currentTerm.term);
        reply({ status: STATUS_UNAVAILABLE, body: {} });
        break;
      case "acknowledge": {
        this.balancer.detectReturn(heartbeat.machine, nowMs);
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

  /** The fencing token of a response: at least this term's first one, so that commands of older leaders are rejected. */
  private fencingTokenFor(heartbeat: Heartbeat): number {
    return Math.max(firstFencingToken(this.currentTerm.term), heartbeat.fencingToken);
  }

  /** The controller that this worker is redirected to for balance, or null if it stays here. */
  private redirectTarget(heartbeat: Heartbeat, isKnown: boolean, nowMs: number): string | null {
    return this.balancer.redirectTarget(heartbeat, {
      isKnown,
      leader: this.currentTerm.leader,
      isLeaderNew: nowMs - this.currentTerm.firstSeenMs < NEW_LEADER_PERIOD_MS,
      lagMs: this.options.lagMs(),
      nowMs,
    });
  }

  /** Queues an acknowledged heartbeat for the leader: a leader flushes at once, a follower soon if it brings a change. */
  private recordAcknowledged(heartbeat: Heartbeat, known: Heartbeat | undefined, nowMs: number): void {
    const isSame = known !== undefined && isUnchanged(known, heartbeat);
    const worker = this.workers.record(heartbeat, nowMs);
    const isPlainRenewal = isSame && !this.updates.hasPendingChange(heartbeat.machine);
    if (isPlainRenewal) this.updates.addUnchanged(heartbeat);
    else this.updates.addChanged(worker);
    if (this.rights.isLeader) this.flush();
    else if (!isPlainRenewal) this.flushSoon();
  }

  private flushSoon(): void {
    if (this.flushTimer !== null || this.isStopped) return;
    this.flushTimer = this.options.clock.after(CHANGE_BATCH_DELAY_MS, () => this.post({ kind: "flush" }));
  }

  /** Sends pending updates to the leader. Without pending changes an empty update still requests the next grant. */
  private flush(): void {
    const { leader, term } = this.currentTerm;
    if (this.isStopped || leader === null || term === 0) return;
    const updates = this.updates.takeUpdates(term, this.workers.workerCount, this.options.clock.nowMs());
    for (const update of updates) {
      if (this.rights.isLeader) this.options.sendToLocalLeader(update);
      else this.options.sendToLeader(leader, update);
    }
  }

  private tick(): void {
    if (this.isStopped) return;
    this.tickTimer = this.options.clock.after(TICK_MS, () => this.post({ kind: "tick" }));
    const nowMs = this.options.clock.nowMs();
    this.workers.expire(nowMs);
    this.confirmedCancellations.expire(nowMs);
    this.balancer.expireRedirects(nowMs);
    if (!this.rights.isLeader) this.flush();
    if (this.rights.isIsolated(nowMs)) this.announceIsolation();
  }

  private announceIsolation(): void {
    const { node, term } = this.currentTerm;
    for (const zonePeer of this.zonePeers)
      this.options.sendToZonePeer(zonePeer, { kind: "isolated", from: node, term });
  }
}
