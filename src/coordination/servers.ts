import type { Grant, Serving } from "../protocol/peers.js";
import { DRIFT, type ServerFacts } from "./fences.js";

/** How long a controller may acknowledge reports without hearing from the leader again. */
export const GRANT_MS = 2000;
const MIN_GAP_MS = 250;

interface Book extends ServerFacts {
  /** After this it acknowledges nothing of its own zone's workers either. */
  homeUntilMs: number;
  /** Before this it may have acknowledged anything of its own zone, under an earlier leader. */
  homeBlindMs: number;
  life: number;
  seq: number;
  machines: number;
  lagMs: number;
  heardMs: number;
  grantedMs: number;
  /** Since when something of it is missing here; Infinity: nothing. */
  missingMs: number;
  /** When this process of it was heard first. */
  lifeSinceMs: number;
  /** All cancellations that this process told users of before then are known here. */
  toldMs: number;
  toldSeq: number;
}

/**
 * What the leader knows of the controllers that acknowledge reports under its grants: until when they may, and up to
 * when all that they have acknowledged is known here. Every proof by an elapsed lease asks it (rule `ran_twice`).
 */
export class Servers {
  private readonly books = new Map<string, Book>();

  constructor(
    /** The other controllers' zones. */
    private readonly zones: ReadonlyMap<string, string>,
    /** The longest that an earlier leader can have given a controller its own zone for. */
    private readonly homeMs: number,
  ) {}

  /** What came in, in its order; a gap in it makes everything before this moment unknown. */
  heard(s: Serving, nowMs: number): void {
    let book = this.books.get(s.from);
    if (!book) {
      book = {
        grantUntilMs: -Infinity,
        homeUntilMs: -Infinity,
        // With its first frame of this term it has given up what an earlier leader gave it.
        homeBlindMs: nowMs,
        // In this term it could acknowledge nothing before its first grant.
        coveredMs: nowMs,
        blindMs: -Infinity,
        life: s.life,
        seq: 0,
        machines: 0,
        lagMs: 0,
        heardMs: nowMs,
        grantedMs: -Infinity,
        missingMs: Infinity,
        lifeSinceMs: nowMs,
        toldMs: -Infinity,
        toldSeq: 0,
      };
      this.books.set(s.from, book);
    }
    if (book.life !== s.life || s.seq !== book.seq + 1) {
      // A lost frame named acknowledgements that nobody will name again. A process that came back may have had
      // untold ones as well, and its first frame may follow a grant to its forerunner.
      if (book.grantUntilMs > -Infinity) book.blindMs = nowMs;
      if (s.seq !== 1) book.missingMs = nowMs;
    }
    // Asked until it is answered: asked once, and the question lost or too late for who stood still, a machine whose last
    // word had been lost was heard from then on as one with nothing new to say, and its job was never done.
    else if (s.retoldMs >= book.missingMs) book.missingMs = Infinity;
    if (book.life !== s.life) {
      book.lifeSinceMs = nowMs;
      book.toldMs = -Infinity;
      book.toldSeq = 0;
    }
    book.life = s.life;
    book.seq = s.seq;
    book.coveredMs = Math.max(book.coveredMs, Math.min(s.echoMs, nowMs));
    book.machines = s.machines;
    book.lagMs = s.lagMs;
    book.heardMs = nowMs;
  }

  /** Its cancellations were taken over. */
  toldOf(s: Serving, nowMs: number): void {
    const book = this.books.get(s.from);
    if (!book || book.life !== s.life) return;
    book.toldSeq = Math.max(book.toldSeq, s.toldSeq);
    // Whatever it tells after our stamp came in is told after that stamp.
    if (s.toldAll) book.toldMs = Math.max(book.toldMs, Math.min(s.echoMs, nowMs));
  }

  /**
   * Up to when all cancellations that users were told of are known here: read from the state service, or named by the
   * controllers themselves. What a process had told that is over by now can only be read, after we first heard the next.
   */
  cancelsKnownToMs(readMs: number): number {
    let knownMs = Infinity;
    for (const node of this.zones.keys()) {
      const book = this.books.get(node);
      const toldMs = book && readMs >= book.lifeSinceMs ? book.toldMs : -Infinity;
      knownMs = Math.min(knownMs, Math.max(readMs, toldMs));
    }
    return knownMs;
  }

  /** A new grant in answer to that frame, unless the last one is young. Never longer than we may act ourselves. */
  grant(
    s: Serving,
    self: { node: string; machines: number; lagMs: number },
    nowMs: number,
    ackUntilMs: number,
    served: boolean,
    homeMs = 0,
    barred: string[] = [],
  ): Grant | null {
    const book = this.books.get(s.from);
    const forMs = Math.floor(Math.min(GRANT_MS, ackUntilMs - nowMs));
    if (!book || forMs <= 0 || nowMs - book.grantedMs < MIN_GAP_MS) return null;
    book.grantedMs = nowMs;
    // It counts from when it asked, which was before now.
    book.grantUntilMs = Math.max(book.grantUntilMs, nowMs + forMs * (1 + 2 * DRIFT) + 10);
    if (homeMs > 0) book.homeUntilMs = Math.max(book.homeUntilMs, nowMs + homeMs * (1 + 2 * DRIFT) + 10);
    const resync = book.missingMs < Infinity;
    return {
      kind: "grant",
      from: self.node,
      term: s.term,
      life: s.life,
      askMs: s.askMs,
      forMs,
      homeMs,
      stampMs: Math.floor(nowMs),
      served,
      resync,
      toldSeq: book.toldSeq,
      barred,
      homes: this.homes(self, nowMs),
    };
  }

  /** Who serves workers at present, and how many. */
  homes(self: Grant["homes"][number], nowMs: number): Grant["homes"] {
    const homes = [{ ...self }];
    for (const [node, b] of this.books) {
      if (b.grantUntilMs > nowMs) homes.push({ node, machines: b.machines, lagMs: b.lagMs });
    }
    return homes;
  }

  wantAll(node: string, nowMs: number): void {
    const book = this.books.get(node);
    if (book && book.missingMs === Infinity) book.missingMs = nowMs;
  }

  /**
   * What counts for a machine of that zone (not known: of any). Who has not been heard in this term may still use what
   * an earlier leader gave it, which had ended its own giving by `othersSilentFromMs`.
   */
  *facts(zone: string, othersSilentFromMs: number): Iterable<ServerFacts> {
    for (const [node, home] of this.zones) {
      const book = this.books.get(node);
      const own = zone === "" || home === zone;
      if (!book) {
        if (!own || this.homeMs === 0) continue;
        const grantUntilMs = othersSilentFromMs + this.homeMs * (1 + 2 * DRIFT);
        yield { grantUntilMs, coveredMs: -Infinity, blindMs: -Infinity };
      } else if (own) {
        yield {
          grantUntilMs: Math.max(book.grantUntilMs, book.homeUntilMs),
          coveredMs: book.coveredMs,
          blindMs: this.homeMs === 0 ? book.blindMs : Math.max(book.blindMs, book.homeBlindMs),
        };
      } else yield book;
    }
  }

  /** Does any controller that we can hand over to keep up clearly better than we do? */
  someoneFaster(lagMs: number, nowMs: number): boolean {
    for (const b of this.books.values()) if (nowMs - b.heardMs < 1500 && b.lagMs * 3 < lagMs) return true;
    return false;
  }
}
