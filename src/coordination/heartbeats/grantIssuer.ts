/** Issues the grants for other controllers to acknowledge heartbeats, and the limits for the leader's own process. */
import type { Grant, HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import type { PlatformSettings } from "../../settings/platform.js";
import type { Clock } from "../../transport/clock.js";
import { MIN_ZONE_LEASE_MS } from "../term/acknowledgementLimit.js";
import type { Attempts } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { AcknowledgementLimits } from "./acknowledgementLimits.js";
import type { HeartbeatServerLimits } from "./acknowledgementRights.js";
import type { HeartbeatServerRegistry } from "./heartbeatServerRegistry.js";

/** Outcome of this controller's latest requests to the state store. */
export interface StateStoreHealth {
  /** When the latest request that the state store served was sent, in steady time; -Infinity if never. */
  readonly lastServedRequestSentMs: number;
  /** When a request last failed or was refused as unavailable, in steady time; -Infinity if never. */
  readonly lastRefusedMs: number;
}

/** The parts of the term and of the controller that a grant issuer depends on. */
export interface GrantIssuerContext {
  clock: Clock;
  platform: PlatformSettings;
  lease: TermLease;
  jobs: JobRegistry;
  attempts: Attempts;
  servers: HeartbeatServerRegistry;
  limits: AcknowledgementLimits;
  stateStore: StateStoreHealth;
  /** Steady time up to which all committed cancellations have been read from the state store. */
  cancellationsReadUntilMs: () => number;
  sendGrant: (peer: string, grant: Grant) => void;
  /** Passes the controllers that serve workers to the heartbeat server in this process for load balancing. */
  onServers: (servers: Grant["servers"]) => void;
  /** Passes new limits on acknowledgements to the heartbeat server in this process. */
  onLimits: (limits: HeartbeatServerLimits) => void;
  /** Number of workers that recently sent heartbeats to this controller. */
  workerCount: () => number;
  /** Event loop lag of this process, in milliseconds. */
  lagMs: () => number;
}

/**
 * Issues the grants of a term. A controller may acknowledge heartbeats for no longer than the leader itself, and never past
 * the limit set by the cancellations that the leader knows (rule `ran_cancelled`).
 */
export class GrantIssuer {
  /** Zone by name of each other controller. */
  private readonly peerZones: ReadonlyMap<string, string>;
  /** Sequence number of the last applied cancellation that this process confirmed itself. */
  private localCancellationSeq = 0;

  constructor(private readonly context: GrantIssuerContext) {
    this.peerZones = new Map(context.platform.peers.map((peer) => [peer.name, peer.zone]));
  }

  /** Sends a grant in response to another controller's update, unless the registry withholds one. */
  issueGrant(update: HeartbeatServerUpdate, nowMs: number): void {
    const { servers, limits, lease, stateStore } = this.context;
    const grant = servers.createGrant(update, {
      leaderLoad: this.leaderLoad(),
      nowMs,
      acknowledgeUntilMs: Math.min(lease.acknowledgeUntilMs, limits.acknowledgeUntilMs),
      stateStoreReachable: stateStore.lastServedRequestSentMs > stateStore.lastRefusedMs,
      zoneDurationMs: this.zoneLeaseMs(this.peerZones.get(update.from) ?? "", nowMs),
      quarantined: limits.quarantined,
    });
    if (!grant) return;
    this.context.sendGrant(update.from, grant);
    // The heartbeat server in this process balances workers, too, but receives no grant.
    this.context.onServers(grant.servers);
  }

  /** Cancels the jobs whose cancellation a controller confirmed to users, possibly before the leader can read it. */
  applyCancellations(update: HeartbeatServerUpdate, nowMs: number): void {
    if (update.from === this.context.platform.node)
      this.localCancellationSeq = Math.max(this.localCancellationSeq, update.cancellationSeq);
    else this.context.servers.applyCancellations(update, nowMs);
    for (const { id, cancelledAt } of update.cancellations) {
      const job = this.context.jobs.get(id);
      if (job && !job.isCancelled) this.context.attempts.cancelJob(job, cancelledAt);
    }
  }

  /** Recomputes the limits on acknowledgements, and publishes them to the heartbeat server in this process. */
  updateLimits(nowMs: number): void {
    const { platform, lease, limits, servers, jobs, clock } = this.context;
    if (!lease.isLoaded) return;
    const knownUntilMs = servers.cancellationsKnownUntilMs(this.context.cancellationsReadUntilMs());
    limits.update(knownUntilMs, jobs.values(), nowMs, clock.wallTime());
    const zoneLeaseMs = this.zoneLeaseMs(platform.zone, nowMs);
    this.context.onLimits({
      term: lease.term,
      acknowledgeUntilMs: limits.acknowledgeUntilMs,
      zoneLeaseUntilMs: zoneLeaseMs > 0 ? nowMs + zoneLeaseMs : -Infinity,
      quarantined: limits.quarantined,
      cancellationSeq: this.localCancellationSeq,
    });
  }

  /** Publishes the controllers that serve workers to the heartbeat server in this process. */
  publishServers(nowMs: number): void {
    this.context.onServers(this.context.servers.activeServers(this.leaderLoad(), nowMs));
  }

  /** How long from `nowMs` a controller partitioned with `zone` may acknowledge its workers; 0 for not at all. */
  private zoneLeaseMs(zone: string, nowMs: number): number {
    const { lease, limits } = this.context;
    if (!lease.isLoaded || !lease.mayWrite()) return 0;
    const durationMs = Math.floor(limits.zoneAcknowledgeUntilMs(zone) - nowMs);
    return durationMs < MIN_ZONE_LEASE_MS ? 0 : durationMs;
  }

  private leaderLoad(): Grant["servers"][number] {
    return {
      node: this.context.platform.node,
      workerCount: this.context.workerCount(),
      lagMs: Math.round(this.context.lagMs()),
    };
  }
}
