import type { Grant, HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import { CLOCK_DRIFT } from "../term/clockDrift.js";
import type { HeartbeatServerFacts } from "../term/leaseProofs.js";

/** How long a controller may acknowledge reports without hearing from the leader again. */
export const GRANT_DURATION_MS = 2000;
const MIN_GAP_MS = 250;

/** What a grant may allow, as the leader stands at that moment. */
export interface GrantTerms {
  /** The leader's own load. */
  self: Grant["servers"][number];
  nowMs: number;
  /** Until then the leader itself may acknowledge heartbeats. */
  acknowledgeUntilMs: number;
  stateStoreReachable: boolean;
  /** For workers of the asker's own zone; 0: no longer than for the rest. */
  zoneDurationMs: number;
  quarantined: string[];
}

interface ServerRecord extends HeartbeatServerFacts {
  /** After this it acknowledges nothing of its own zone's workers either. */
  zoneLeaseUntilMs: number;
  /** Before this it may have acknowledged anything of its own zone, under an earlier leader. */
  zoneBlindMs: number;
  incarnation: number;
  sequence: number;
  machines: number;
  lagMs: number;
  receivedMs: number;
  grantedMs: number;
  /** Since when something of it is missing here; Infinity: nothing. */
  missingMs: number;
  /** When this process of it was heard first. */
  processSinceMs: number;
  /** All cancellations that this process told users of before then are known here. */
  cancellationsKnownMs: number;
  cancellationSeq: number;
}

/**
 * What the leader knows of the controllers that acknowledge reports under its grants: until when they may, and up to
 * when all that they have acknowledged is known here. Every proof by an elapsed lease asks it (rule `ran_twice`).
 */
export class HeartbeatServerRegistry {
  private readonly records = new Map<string, ServerRecord>();

  constructor(
    /** The other controllers' zones. */
    private readonly zones: ReadonlyMap<string, string>,
    /** The longest that an earlier leader can have given a controller its own zone for. */
    private readonly longestZoneLeaseMs: number,
  ) {}

  /** What came in, in its order; a gap in it makes everything before this moment unknown. */
  applyUpdate(update: HeartbeatServerUpdate, nowMs: number): void {
    let record = this.records.get(update.from);
    if (!record) {
      record = {
        grantUntilMs: -Infinity,
        zoneLeaseUntilMs: -Infinity,
        // With its first frame of this term it has given up what an earlier leader gave it.
        zoneBlindMs: nowMs,
        // In this term it could acknowledge nothing before its first grant.
        acknowledgementsKnownUntilMs: nowMs,
        acknowledgementsUnknownBeforeMs: -Infinity,
        incarnation: update.incarnation,
        sequence: 0,
        machines: 0,
        lagMs: 0,
        receivedMs: nowMs,
        grantedMs: -Infinity,
        missingMs: Infinity,
        processSinceMs: nowMs,
        cancellationsKnownMs: -Infinity,
        cancellationSeq: 0,
      };
      this.records.set(update.from, record);
    }
    if (record.incarnation !== update.incarnation || update.sequence !== record.sequence + 1) {
      // A lost frame named acknowledgements that nobody will name again. A process that came back may have had
      // untold ones as well, and its first frame may follow a grant to its forerunner.
      if (record.grantUntilMs > -Infinity) record.acknowledgementsUnknownBeforeMs = nowMs;
      if (update.sequence !== 1) record.missingMs = nowMs;
    }
    // Asked until it is answered: asked once, and the question lost or too late for who stood still, a machine whose last
    // word had been lost was heard from then on as one with nothing new to say, and its job was never done.
    else if (update.lastResyncIssuedAtMs >= record.missingMs) record.missingMs = Infinity;
    if (record.incarnation !== update.incarnation) {
      record.processSinceMs = nowMs;
      record.cancellationsKnownMs = -Infinity;
      record.cancellationSeq = 0;
    }
    record.incarnation = update.incarnation;
    record.sequence = update.sequence;
    record.acknowledgementsKnownUntilMs = Math.max(
      record.acknowledgementsKnownUntilMs,
      Math.min(update.lastGrantIssuedAtMs, nowMs),
    );
    record.machines = update.machines;
    record.lagMs = update.lagMs;
    record.receivedMs = nowMs;
  }

  /** Its cancellations were taken over. */
  applyCancellations(update: HeartbeatServerUpdate, nowMs: number): void {
    const record = this.records.get(update.from);
    if (!record || record.incarnation !== update.incarnation) return;
    record.cancellationSeq = Math.max(record.cancellationSeq, update.cancellationSeq);
    // Whatever it tells after our stamp came in is told after that stamp.
    if (update.cancellationsComplete)
      record.cancellationsKnownMs = Math.max(
        record.cancellationsKnownMs,
        Math.min(update.lastGrantIssuedAtMs, nowMs),
      );
  }

  /**
   * Up to when all cancellations that users were told of are known here: read from the state service, or named by the
   * controllers themselves. What a process had told that is over by now can only be read, after we first heard the next.
   */
  cancellationsKnownUntilMs(readMs: number): number {
    let knownMs = Infinity;
    for (const node of this.zones.keys()) {
      const record = this.records.get(node);
      const toldMs = record && readMs >= record.processSinceMs ? record.cancellationsKnownMs : -Infinity;
      knownMs = Math.min(knownMs, Math.max(readMs, toldMs));
    }
    return knownMs;
  }

  /** A new grant in answer to that frame, unless the last one is young. Never longer than we may act ourselves. */
  grant(update: HeartbeatServerUpdate, terms: GrantTerms): Grant | null {
    const { self, nowMs, acknowledgeUntilMs, stateStoreReachable, zoneDurationMs, quarantined } = terms;
    const record = this.records.get(update.from);
    const durationMs = Math.floor(Math.min(GRANT_DURATION_MS, acknowledgeUntilMs - nowMs));
    if (!record || durationMs <= 0 || nowMs - record.grantedMs < MIN_GAP_MS) return null;
    record.grantedMs = nowMs;
    // It counts from when it asked, which was before now.
    record.grantUntilMs = Math.max(record.grantUntilMs, nowMs + durationMs * (1 + 2 * CLOCK_DRIFT) + 10);
    if (zoneDurationMs > 0)
      record.zoneLeaseUntilMs = Math.max(
        record.zoneLeaseUntilMs,
        nowMs + zoneDurationMs * (1 + 2 * CLOCK_DRIFT) + 10,
      );
    const resync = record.missingMs < Infinity;
    return {
      kind: "grant",
      from: self.node,
      term: update.term,
      incarnation: update.incarnation,
      requestedAtMs: update.requestedAtMs,
      durationMs,
      zoneDurationMs,
      issuedAtMs: Math.floor(nowMs),
      stateStoreReachable,
      resync,
      cancellationSeq: record.cancellationSeq,
      quarantined,
      servers: this.activeServers(self, nowMs),
    };
  }

  /** Who serves workers at present, and how many. */
  activeServers(self: Grant["servers"][number], nowMs: number): Grant["servers"] {
    const servers = [{ ...self }];
    for (const [node, record] of this.records) {
      if (record.grantUntilMs > nowMs) servers.push({ node, machines: record.machines, lagMs: record.lagMs });
    }
    return servers;
  }

  requestResync(node: string, nowMs: number): void {
    const record = this.records.get(node);
    if (record && record.missingMs === Infinity) record.missingMs = nowMs;
  }

  /**
   * What counts for a machine of that zone (not known: of any). Who has not been heard in this term may still use what
   * an earlier leader gave it, which had ended its own giving by `othersSilentFromMs`.
   */
  *acknowledgementFacts(zone: string, othersSilentFromMs: number): Iterable<HeartbeatServerFacts> {
    for (const [node, serverZone] of this.zones) {
      const record = this.records.get(node);
      const own = zone === "" || serverZone === zone;
      if (!record) {
        if (!own || this.longestZoneLeaseMs === 0) continue;
        const grantUntilMs = othersSilentFromMs + this.longestZoneLeaseMs * (1 + 2 * CLOCK_DRIFT);
        yield {
          grantUntilMs,
          acknowledgementsKnownUntilMs: -Infinity,
          acknowledgementsUnknownBeforeMs: -Infinity,
        };
      } else if (own) {
        yield {
          grantUntilMs: Math.max(record.grantUntilMs, record.zoneLeaseUntilMs),
          acknowledgementsKnownUntilMs: record.acknowledgementsKnownUntilMs,
          acknowledgementsUnknownBeforeMs:
            this.longestZoneLeaseMs === 0
              ? record.acknowledgementsUnknownBeforeMs
              : Math.max(record.acknowledgementsUnknownBeforeMs, record.zoneBlindMs),
        };
      } else yield record;
    }
  }

  /** Does any controller that we can hand over to keep up clearly better than we do? */
  hasFasterServer(lagMs: number, nowMs: number): boolean {
    for (const b of this.records.values())
      if (nowMs - b.receivedMs < 1500 && b.lagMs * 3 < lagMs) return true;
    return false;
  }
}
