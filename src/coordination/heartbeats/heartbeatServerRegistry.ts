/** The leader's knowledge of the controllers that acknowledge heartbeats under its grants. */
import type { Grant, HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import { CLOCK_DRIFT } from "../term/clockDrift.js";
import type { HeartbeatServerFacts } from "../term/leaseProofs.js";
import {
  applyCancellationsToRecord,
  applyUpdateToRecord,
  newServerRecord,
  type HeartbeatServerRecord,
} from "./heartbeatServerRecord.js";

/** How long a controller may acknowledge heartbeats by one grant. */
export const GRANT_DURATION_MS = 2000;
/** An update that follows the last grant more closely than this gets none: most updates carry changes, not a request. */
const MIN_GRANT_INTERVAL_MS = 250;
/** A grant counts as used for so much longer than the clocks' drift explains. */
const GRANT_MARGIN_MS = 10;
/** Leadership is only handed to a controller whose last update is younger than this, and that many times faster. */
const MAX_UPDATE_AGE_MS = 1500;
const FASTER_BY = 3;

/** A controller that serves workers: its name, how many workers it has, its event loop's lag. */
type ServerLoad = Grant["servers"][number];

/** What a grant may allow, as the leader stands at that moment. */
export interface GrantTerms {
  /** The leader's own load. */
  self: ServerLoad;
  nowMs: number;
  /** Until then the leader itself may acknowledge heartbeats. */
  acknowledgeUntilMs: number;
  stateStoreReachable: boolean;
  /** For workers of the requesting controller's own zone; 0: no longer than for the rest. */
  zoneDurationMs: number;
  /** Machines whose heartbeats may not be acknowledged. */
  quarantined: string[];
}

/**
 * Owns what the leader knows of the other controllers in its term: until when each may acknowledge heartbeats, and up to
 * when all that it acknowledged is known here. Every proof by lease expiry relies on it (rule `ran_twice`).
 */
export class HeartbeatServerRegistry {
  private readonly records = new Map<string, HeartbeatServerRecord>();

  constructor(
    /** The other controllers' zones. */
    private readonly zones: ReadonlyMap<string, string>,
    /** The longest lease on its own zone that an earlier leader can have given a controller; 0: none. */
    private readonly longestZoneLeaseMs: number,
  ) {}

  /** Takes in an update, in the order in which they arrived; a gap makes acknowledgements up to now unknown. */
  applyUpdate(update: HeartbeatServerUpdate, nowMs: number): void {
    let record = this.records.get(update.from);
    if (!record) {
      record = newServerRecord(update, nowMs);
      this.records.set(update.from, record);
    }
    applyUpdateToRecord(record, update, nowMs);
  }

  /** The cancellations that the update names have been applied. */
  applyCancellations(update: HeartbeatServerUpdate, nowMs: number): void {
    const record = this.records.get(update.from);
    if (record) applyCancellationsToRecord(record, update, nowMs);
  }

  /**
   * Up to when every cancellation that was confirmed to a user is known here: read from the state store, which is done up
   * to `readUntilMs`, or named by the controller that confirmed it. What a controller's earlier process had confirmed can
   * only be read, after the first update of the next one arrived.
   */
  cancellationsKnownUntilMs(readUntilMs: number): number {
    let knownUntilMs = Infinity;
    for (const node of this.zones.keys()) {
      const record = this.records.get(node);
      const isNamed = record !== undefined && readUntilMs >= record.incarnationSinceMs;
      const namedUntilMs = isNamed ? record.cancellationsKnownUntilMs : -Infinity;
      knownUntilMs = Math.min(knownUntilMs, Math.max(readUntilMs, namedUntilMs));
    }
    return knownUntilMs;
  }

  /**
   * A new grant in response to that update, never for longer than the leader itself may acknowledge; null: the leader may
   * not, or the last grant is too recent.
   */
  grant(update: HeartbeatServerUpdate, terms: GrantTerms): Grant | null {
    const { self, nowMs, acknowledgeUntilMs, zoneDurationMs } = terms;
    const record = this.records.get(update.from);
    const durationMs = Math.floor(Math.min(GRANT_DURATION_MS, acknowledgeUntilMs - nowMs));
    if (!record || durationMs <= 0 || nowMs - record.lastGrantMs < MIN_GRANT_INTERVAL_MS) return null;
    record.lastGrantMs = nowMs;
    record.grantUntilMs = Math.max(record.grantUntilMs, latestEndMs(nowMs, durationMs));
    if (zoneDurationMs > 0)
      record.zoneLeaseUntilMs = Math.max(record.zoneLeaseUntilMs, latestEndMs(nowMs, zoneDurationMs));
    return {
      kind: "grant",
      from: self.node,
      term: update.term,
      incarnation: update.incarnation,
      requestedAtMs: update.requestedAtMs,
      durationMs,
      zoneDurationMs,
      issuedAtMs: Math.floor(nowMs),
      stateStoreReachable: terms.stateStoreReachable,
      resync: record.resyncNeededSinceMs < Infinity,
      cancellationSeq: record.cancellationSeq,
      quarantined: terms.quarantined,
      servers: this.activeServers(self, nowMs),
    };
  }

  /** The controllers that serve workers at present: the leader (`self`) and those with a grant. */
  activeServers(self: ServerLoad, nowMs: number): ServerLoad[] {
    const servers = [{ ...self }];
    for (const [node, record] of this.records) {
      if (record.grantUntilMs > nowMs) servers.push({ node, machines: record.machines, lagMs: record.lagMs });
    }
    return servers;
  }

  /** Heartbeats of that controller's workers are missing here: its grants ask for a resync until it is carried out. */
  requestResync(node: string, nowMs: number): void {
    const record = this.records.get(node);
    if (record && record.resyncNeededSinceMs === Infinity) record.resyncNeededSinceMs = nowMs;
  }

  /**
   * What each controller may have acknowledged for a worker of that zone ("": the zone is not known, so any). A controller
   * without an update in this term may still use a zone lease of an earlier leader; all of those leaders had stopped
   * issuing by `earlierLeadersSilentFromMs`.
   */
  *acknowledgementFacts(zone: string, earlierLeadersSilentFromMs: number): Iterable<HeartbeatServerFacts> {
    for (const [node, serverZone] of this.zones) {
      const record = this.records.get(node);
      const isOwnZone = zone === "" || serverZone === zone;
      if (record) yield isOwnZone ? this.ownZoneFacts(record) : record;
      else if (isOwnZone && this.longestZoneLeaseMs > 0)
        yield this.earlierTermFacts(earlierLeadersSilentFromMs);
    }
  }

  /** For a worker of the controller's own zone, its lease on the zone counts as well. */
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

  /** For a controller without an update in this term: it may use the longest zone lease that it can have, to the end. */
  private earlierTermFacts(earlierLeadersSilentFromMs: number): HeartbeatServerFacts {
    return {
      grantUntilMs: earlierLeadersSilentFromMs + this.longestZoneLeaseMs * (1 + 2 * CLOCK_DRIFT),
      acknowledgementsKnownUntilMs: -Infinity,
      acknowledgementsUnknownBeforeMs: -Infinity,
    };
  }

  /** Does any controller that is connected lag much less than the leader, whose event loop lags by so much? */
  hasFasterServer(lagMs: number, nowMs: number): boolean {
    for (const record of this.records.values())
      if (nowMs - record.lastUpdateMs < MAX_UPDATE_AGE_MS && record.lagMs * FASTER_BY < lagMs) return true;
    return false;
  }
}

/** When a grant of that duration has certainly ended. The controller counts it from its request, which was before now. */
function latestEndMs(nowMs: number, durationMs: number): number {
  return nowMs + durationMs * (1 + 2 * CLOCK_DRIFT) + GRANT_MARGIN_MS;
}
