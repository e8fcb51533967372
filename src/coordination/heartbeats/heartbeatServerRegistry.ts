/** The leader's registry of the controllers that acknowledge heartbeats under its grants. */
import { UNKNOWN_ZONE } from "../../protocol/model.js";
import type { Grant, HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import { CLOCK_DRIFT } from "../term/clockDrift.js";
import type { HeartbeatServerFacts } from "../term/leaseProofs.js";
import {
  applyCancellationsToRecord,
  applyUpdateToRecord,
  newServerRecord,
  type HeartbeatServerRecord,
} from "./heartbeatServerRecord.js";

/** How long a controller may acknowledge heartbeats under one grant. */
export const GRANT_DURATION_MS = 2000;
/** Minimum time between grants to one controller: most updates are sent to report changes, not to request a grant. */
const MIN_GRANT_INTERVAL_MS = 250;
/** Safety margin on the end of a grant, in addition to the clock drift. */
const GRANT_MARGIN_MS = 10;
/** Leadership is handed over only if a faster controller has sent its last update within this time. */
const MAX_UPDATE_AGE_MS = 1500;
/** Leadership is handed over only if the leader's event loop lag exceeds another controller's by this factor. */
const MIN_LAG_RATIO = 3;

/** The load of a controller that serves workers: its name, number of workers and event loop lag. */
type ServerLoad = Grant["servers"][number];

/** The leader's state that bounds what a grant may allow. */
export interface GrantConditions {
  leaderLoad: ServerLoad;
  nowMs: number;
  /** Steady time until which the leader itself may acknowledge heartbeats. */
  acknowledgeUntilMs: number;
  /** Whether the state store serves the leader's requests. */
  stateStoreReachable: boolean;
  /** Duration for workers of the requesting controller's own zone; 0 if it is no longer than for other zones. */
  zoneDurationMs: number;
  /** Names of machines whose heartbeats must not be acknowledged. */
  quarantined: string[];
}

/**
 * Owns the leader's records of the other controllers in its term: until when each may acknowledge heartbeats, and up to
 * when all of its acknowledgements are known here. Every proof by lease expiry relies on them (rule `ran_twice`).
 */
export class HeartbeatServerRegistry {
  private readonly records = new Map<string, HeartbeatServerRecord>();

  constructor(
    /** Zone by name of each other controller. */
    private readonly peerZones: ReadonlyMap<string, string>,
    /** The longest zone lease that an earlier leader can have granted; 0 if zone leases are never granted. */
    private readonly longestZoneLeaseMs: number,
  ) {}

  /** Applies an update. Updates must be applied in order of arrival; a gap makes acknowledgements up to now unknown. */
  applyUpdate(update: HeartbeatServerUpdate, nowMs: number): void {
    let record = this.records.get(update.from);
    if (!record) {
      record = newServerRecord(update, nowMs);
      this.records.set(update.from, record);
    }
    applyUpdateToRecord(record, update, nowMs);
  }

  /** Records that the cancellations reported by the update have been applied. */
  applyCancellations(update: HeartbeatServerUpdate, nowMs: number): void {
    const record = this.records.get(update.from);
    if (record) applyCancellationsToRecord(record, update, nowMs);
  }

  /**
   * Time up to which every cancellation confirmed to a user is known here: either read from the state store (complete up to
   * `readUntilMs`), or reported by the controller that confirmed it. Cancellations confirmed by a controller's previous
   * process can only be read, so the reports of the current process count only once the store has been read up to the
   * arrival of its first update.
   */
  cancellationsKnownUntilMs(readUntilMs: number): number {
    let knownUntilMs = Infinity;
    for (const node of this.peerZones.keys()) {
      const record = this.records.get(node);
      const isReported = record !== undefined && readUntilMs >= record.incarnationFirstUpdateMs;
      const reportedUntilMs = isReported ? record.cancellationsKnownUntilMs : -Infinity;
      knownUntilMs = Math.min(knownUntilMs, Math.max(readUntilMs, reportedUntilMs));
    }
    return knownUntilMs;
  }

  /**
   * Creates a grant in response to an update, for no longer than the leader itself may acknowledge. Returns null if the
   * leader may not acknowledge, or if the last grant to the controller is too recent.
   */
  createGrant(update: HeartbeatServerUpdate, conditions: GrantConditions): Grant | null {
    const { leaderLoad, nowMs, acknowledgeUntilMs, zoneDurationMs } = conditions;
    const record = this.records.get(update.from);
    const durationMs = Math.floor(Math.min(GRANT_DURATION_MS, acknowledgeUntilMs - nowMs));
    if (!record || durationMs <= 0 || nowMs - record.lastGrantMs < MIN_GRANT_INTERVAL_MS) return null;
    record.lastGrantMs = nowMs;
    record.grantUntilMs = Math.max(record.grantUntilMs, latestGrantEndMs(nowMs, durationMs));
    if (zoneDurationMs > 0)
      record.zoneLeaseUntilMs = Math.max(record.zoneLeaseUntilMs, latestGrantEndMs(nowMs, zoneDurationMs));
    return {
      kind: "grant",
      from: leaderLoad.node,
      term: update.term,
      incarnation: update.incarnation,
      requestedAtMs: update.requestedAtMs,
      durationMs,
      zoneDurationMs,
      issuedAtMs: Math.floor(nowMs),
      stateStoreReachable: conditions.stateStoreReachable,
      resync: record.resyncNeededSinceMs < Infinity,
      cancellationSeq: record.cancellationSeq,
      quarantined: conditions.quarantined,
      servers: this.activeServers(leaderLoad, nowMs),
    };
  }

  /** The controllers that currently serve workers: the leader, and each controller with a valid grant. */
  activeServers(leaderLoad: ServerLoad, nowMs: number): ServerLoad[] {
    const servers = [{ ...leaderLoad }];
    for (const [node, record] of this.records) {
      if (record.grantUntilMs > nowMs)
        servers.push({ node, workerCount: record.workerCount, lagMs: record.lagMs });
    }
    return servers;
  }

  /** Requests a resync because heartbeats are missing; the controller's grants ask for it until it is carried out. */
  requestResync(node: string, nowMs: number): void {
    const record = this.records.get(node);
    if (record && record.resyncNeededSinceMs === Infinity) record.resyncNeededSinceMs = nowMs;
  }

  /**
   * What each controller may have acknowledged for a worker of `zone`, which is any zone if it is `UNKNOWN_ZONE`. A
   * controller without an update in this term may still use a zone lease from an earlier leader. No earlier leader
   * has issued a lease after `earlierLeadershipExpiredFromMs`.
   */
  *acknowledgementFacts(
    zone: string,
    earlierLeadershipExpiredFromMs: number,
  ): Iterable<HeartbeatServerFacts> {
    for (const [node, serverZone] of this.peerZones) {
      const record = this.records.get(node);
      const isOwnZone = zone === UNKNOWN_ZONE || serverZone === zone;
      if (record) yield isOwnZone ? this.ownZoneFacts(record) : record;
      else if (isOwnZone && this.longestZoneLeaseMs > 0)
        yield this.earlierTermFacts(earlierLeadershipExpiredFromMs);
    }
  }

  /** Facts for a worker of the controller's own zone, for which the zone lease counts as well. */
  private ownZoneFacts(record: HeartbeatServerRecord): HeartbeatServerFacts {
    const unknownBeforeMs = record.acknowledgementsUnknownBeforeMs;
    return {
      grantUntilMs: Math.max(record.grantUntilMs, record.zoneLeaseUntilMs),
      acknowledgementsKnownUntilMs: record.acknowledgementsKnownUntilMs,
      acknowledgementsUnknownBeforeMs:
        this.longestZoneLeaseMs === 0
          ? unknownBeforeMs
          : Math.max(unknownBeforeMs, record.zoneAcknowledgementsUnknownBeforeMs),
    };
  }

  /** Facts for a controller without an update in this term, which may use the longest possible zone lease to its end. */
  private earlierTermFacts(earlierLeadershipExpiredFromMs: number): HeartbeatServerFacts {
    return {
      grantUntilMs: earlierLeadershipExpiredFromMs + this.longestZoneLeaseMs * (1 + 2 * CLOCK_DRIFT),
      acknowledgementsKnownUntilMs: -Infinity,
      acknowledgementsUnknownBeforeMs: -Infinity,
    };
  }

  /** Whether a connected controller's event loop lags much less than the leader's, which lags by `lagMs`. */
  hasFasterServer(lagMs: number, nowMs: number): boolean {
    for (const record of this.records.values())
      if (nowMs - record.lastUpdateMs < MAX_UPDATE_AGE_MS && record.lagMs * MIN_LAG_RATIO < lagMs)
        return true;
    return false;
  }
}

/**
 * Time by which a grant issued at `nowMs` has certainly ended. The controller counts the duration from its request, which
 * precedes `nowMs`.
 */
function latestGrantEndMs(nowMs: number, durationMs: number): number {
  return nowMs + durationMs * (1 + 2 * CLOCK_DRIFT) + GRANT_MARGIN_MS;
}
