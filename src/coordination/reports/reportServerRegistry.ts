import type { Grant, ReportServerUpdate } from "../../protocol/peers.js";
import { DRIFT, type ReportServerFacts } from "../leadership/leaseExpiry.js";

/** How long a controller may acknowledge reports without hearing from the leader again. */
export const GRANT_MS = 2000;
const MIN_GAP_MS = 250;

interface ServerRecord extends ReportServerFacts {
  /** After this it acknowledges nothing of its own zone's workers either. */
  zoneUntilMs: number;
  /** Before this it may have acknowledged anything of its own zone, under an earlier leader. */
  zoneBlindMs: number;
  life: number;
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
export class ReportServerRegistry {
  private readonly records = new Map<string, ServerRecord>();

  constructor(
    /** The other controllers' zones. */
    private readonly zones: ReadonlyMap<string, string>,
    /** The longest that an earlier leader can have given a controller its own zone for. */
    private readonly longestZoneLeaseMs: number,
  ) {}

  /** What came in, in its order; a gap in it makes everything before this moment unknown. */
  received(update: ReportServerUpdate, nowMs: number): void {
    let book = this.records.get(update.from);
    if (!book) {
      book = {
        grantUntilMs: -Infinity,
        zoneUntilMs: -Infinity,
        // With its first frame of this term it has given up what an earlier leader gave it.
        zoneBlindMs: nowMs,
        // In this term it could acknowledge nothing before its first grant.
        coveredMs: nowMs,
        blindMs: -Infinity,
        life: update.life,
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
      this.records.set(update.from, book);
    }
    if (book.life !== update.life || update.sequence !== book.sequence + 1) {
      // A lost frame named acknowledgements that nobody will name again. A process that came back may have had
      // untold ones as well, and its first frame may follow a grant to its forerunner.
      if (book.grantUntilMs > -Infinity) book.blindMs = nowMs;
      if (update.sequence !== 1) book.missingMs = nowMs;
    }
    // Asked until it is answered: asked once, and the question lost or too late for who stood still, a machine whose last
    // word had been lost was heard from then on as one with nothing new to say, and its job was never done.
    else if (update.resyncedStampMs >= book.missingMs) book.missingMs = Infinity;
    if (book.life !== update.life) {
      book.processSinceMs = nowMs;
      book.cancellationsKnownMs = -Infinity;
      book.cancellationSeq = 0;
    }
    book.life = update.life;
    book.sequence = update.sequence;
    book.coveredMs = Math.max(book.coveredMs, Math.min(update.echoedStampMs, nowMs));
    book.machines = update.machines;
    book.lagMs = update.lagMs;
    book.receivedMs = nowMs;
  }

  /** Its cancellations were taken over. */
  learnCancellations(update: ReportServerUpdate, nowMs: number): void {
    const book = this.records.get(update.from);
    if (!book || book.life !== update.life) return;
    book.cancellationSeq = Math.max(book.cancellationSeq, update.cancellationSeq);
    // Whatever it tells after our stamp came in is told after that stamp.
    if (update.cancellationsComplete)
      book.cancellationsKnownMs = Math.max(book.cancellationsKnownMs, Math.min(update.echoedStampMs, nowMs));
  }

  /**
   * Up to when all cancellations that users were told of are known here: read from the state service, or named by the
   * controllers themselves. What a process had told that is over by now can only be read, after we first heard the next.
   */
  cancelsKnownToMs(readMs: number): number {
    let knownMs = Infinity;
    for (const node of this.zones.keys()) {
      const book = this.records.get(node);
      const toldMs = book && readMs >= book.processSinceMs ? book.cancellationsKnownMs : -Infinity;
      knownMs = Math.min(knownMs, Math.max(readMs, toldMs));
    }
    return knownMs;
  }

  /** A new grant in answer to that frame, unless the last one is young. Never longer than we may act ourselves. */
  grant(
    update: ReportServerUpdate,
    self: { node: string; machines: number; lagMs: number },
    nowMs: number,
    ackUntilMs: number,
    stateServed: boolean,
    homeMs = 0,
    quarantined: string[] = [],
  ): Grant | null {
    const book = this.records.get(update.from);
    const forMs = Math.floor(Math.min(GRANT_MS, ackUntilMs - nowMs));
    if (!book || forMs <= 0 || nowMs - book.grantedMs < MIN_GAP_MS) return null;
    book.grantedMs = nowMs;
    // It counts from when it asked, which was before now.
    book.grantUntilMs = Math.max(book.grantUntilMs, nowMs + forMs * (1 + 2 * DRIFT) + 10);
    if (homeMs > 0) book.zoneUntilMs = Math.max(book.zoneUntilMs, nowMs + homeMs * (1 + 2 * DRIFT) + 10);
    const resync = book.missingMs < Infinity;
    return {
      kind: "grant",
      from: self.node,
      term: update.term,
      life: update.life,
      askMs: update.askMs,
      forMs,
      zoneForMs: homeMs,
      stampMs: Math.floor(nowMs),
      stateServed,
      resync,
      cancellationSeq: book.cancellationSeq,
      quarantined,
      servers: this.servers(self, nowMs),
    };
  }

  /** Who serves workers at present, and how many. */
  servers(self: Grant["servers"][number], nowMs: number): Grant["servers"] {
    const servers = [{ ...self }];
    for (const [node, record] of this.records) {
      if (record.grantUntilMs > nowMs) servers.push({ node, machines: record.machines, lagMs: record.lagMs });
    }
    return servers;
  }

  requestResync(node: string, nowMs: number): void {
    const book = this.records.get(node);
    if (book && book.missingMs === Infinity) book.missingMs = nowMs;
  }

  /**
   * What counts for a machine of that zone (not known: of any). Who has not been heard in this term may still use what
   * an earlier leader gave it, which had ended its own giving by `othersSilentFromMs`.
   */
  *facts(zone: string, othersSilentFromMs: number): Iterable<ReportServerFacts> {
    for (const [node, serverZone] of this.zones) {
      const book = this.records.get(node);
      const own = zone === "" || serverZone === zone;
      if (!book) {
        if (!own || this.longestZoneLeaseMs === 0) continue;
        const grantUntilMs = othersSilentFromMs + this.longestZoneLeaseMs * (1 + 2 * DRIFT);
        yield { grantUntilMs, coveredMs: -Infinity, blindMs: -Infinity };
      } else if (own) {
        yield {
          grantUntilMs: Math.max(book.grantUntilMs, book.zoneUntilMs),
          coveredMs: book.coveredMs,
          blindMs: this.longestZoneLeaseMs === 0 ? book.blindMs : Math.max(book.blindMs, book.zoneBlindMs),
        };
      } else yield book;
    }
  }

  /** Does any controller that we can hand over to keep up clearly better than we do? */
  someoneFaster(lagMs: number, nowMs: number): boolean {
    for (const b of this.records.values())
      if (nowMs - b.receivedMs < 1500 && b.lagMs * 3 < lagMs) return true;
    return false;
  }
}
