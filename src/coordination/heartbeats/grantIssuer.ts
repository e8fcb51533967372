/** Issues the grants by which the other controllers acknowledge heartbeats, and the limits of the one in this process. */
import type { Grant, HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import type { Platform } from "../../settings/platform.js";
import type { Clock } from "../../transport/clock.js";
import { MIN_ZONE_LEASE_MS } from "../term/acknowledgementLimit.js";
import type { Attempts } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { AcknowledgementLimits } from "./acknowledgementLimits.js";
import type { HeartbeatServerLimits } from "./acknowledgementRights.js";
import type { HeartbeatServerRegistry } from "./heartbeatServerRegistry.js";

/** When this controller's requests to the state store were last served and refused, in steady time. */
export interface StateStoreHealth {
  readonly lastServedSentMs: number;
  readonly lastRefusedMs: number;
}

/** What the issuer uses of the term and of its controller. */
export interface GrantIssuerContext {
  clock: Clock;
  platform: Platform;
  lease: TermLease;
  jobs: JobRegistry;
  attempts: Attempts;
  servers: HeartbeatServerRegistry;
  limits: AcknowledgementLimits;
  stateStore: StateStoreHealth;
  /** All cancellations that were committed before then have been read from the state store. */
  cancellationsReadUntilMs: () => number;
  sendGrant: (peer: string, grant: Grant) => void;
  /** Which controllers serve workers, for the heartbeat server in this process, which spreads workers as well. */
  onServers: (servers: Grant["servers"]) => void;
  /** What the heartbeat server in this process may acknowledge. */
  onLimits: (limits: HeartbeatServerLimits) => void;
  /** Workers that lately sent their heartbeats to this controller. */
  workerCount: () => number;
  /** This controller's event loop's lag. */
  lagMs: () => number;
}

/**
 * Owns the grants of a term: a controller may acknowledge heartbeats for no longer than the leader itself, and never past
 * what the leader knows of cancellations (rule `ran_cancelled`).
 */
export class GrantIssuer {
  /** The other controllers' zones. */
  private readonly zones: ReadonlyMap<string, string>;
  /** Number of the last cancellation confirmed by this very process that has been applied. */
  private localCancellationSeq = 0;

  constructor(private readonly context: GrantIssuerContext) {
    this.zones = new Map(context.platform.peers.map((peer) => [peer.name, peer.zone]));
  }

  /** Sends a grant in response to another controller's update, if it may have one. */
  issueGrant(update: HeartbeatServerUpdate, nowMs: number): void {
    const { servers, limits, lease, stateStore } = this.context;
    const grant = servers.grant(update, {
      self: this.ownLoad(),
      nowMs,
      acknowledgeUntilMs: Math.min(lease.acknowledgeUntilMs, limits.untilMs),
      stateStoreReachable: stateStore.lastServedSentMs > stateStore.lastRefusedMs,
      zoneDurationMs: this.zoneLeaseMs(this.zones.get(update.from) ?? "", nowMs),
      quarantined: limits.quarantined,
    });
    if (!grant) return;
    this.context.sendGrant(update.from, grant);
    // The heartbeat server in this process spreads workers as well, and gets no grant.
    this.context.onServers(grant.servers);
  }

  /** Cancels the jobs whose cancellation a controller has confirmed to users, perhaps before the leader can read it. */
  applyCancellations(update: HeartbeatServerUpdate, nowMs: number): void {
    if (update.from === this.context.platform.node)
      this.localCancellationSeq = Math.max(this.localCancellationSeq, update.cancellationSeq);
    else this.context.servers.applyCancellations(update, nowMs);
    for (const { id, cancelledAt } of update.cancellations) {
      const job = this.context.jobs.get(id);
      if (job && !job.isCancelled) this.context.attempts.cancelJob(job, cancelledAt);
    }
  }

  /** Computes anew what may be acknowledged, and publishes it to the heartbeat server in this process. */
  updateLimits(nowMs: number): void {
    const { platform, lease, limits, servers, jobs, clock } = this.context;
    if (!lease.isLoaded) return;
    const knownMs = servers.cancellationsKnownUntilMs(this.context.cancellationsReadUntilMs());
    limits.update(knownMs, jobs.values(), nowMs, clock.wallTime());
    const zoneLeaseMs = this.zoneLeaseMs(platform.zone, nowMs);
    this.context.onLimits({
      term: lease.term,
      untilMs: limits.untilMs,
      zoneLeaseUntilMs: zoneLeaseMs > 0 ? nowMs + zoneLeaseMs : -Infinity,
      quarantined: limits.quarantined,
      cancellationSeq: this.localCancellationSeq,
    });
  }

  /** Publishes the controllers that serve workers to the heartbeat server in this process. */
  publishServers(nowMs: number): void {
    this.context.onServers(this.context.servers.activeServers(this.ownLoad(), nowMs));
  }

  /** For how long a controller that is cut off with that zone may acknowledge its workers from now on; 0: not at all. */
  private zoneLeaseMs(zone: string, nowMs: number): number {
    const { lease, limits } = this.context;
    if (!lease.isLoaded || !lease.mayWrite()) return 0;
    const durationMs = Math.floor(limits.zoneUntilMs(zone) - nowMs);
    return durationMs < MIN_ZONE_LEASE_MS ? 0 : durationMs;
  }

  private ownLoad(): Grant["servers"][number] {
    return {
      node: this.context.platform.node,
      machines: this.context.workerCount(),
      lagMs: Math.round(this.context.lagMs()),
    };
  }
}
