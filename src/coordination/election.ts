import type { StateClient, Item } from "../bookkeeping/stateClient.js";
import { keys } from "../bookkeeping/records.js";
import { asCount, asObject, asText } from "../protocol/checks.js";
import type { PeerMessage } from "../protocol/peers.js";
import type { Clock, Timer } from "../transport/clock.js";
import { Actor } from "../transport/mailbox.js";
import { log } from "../transport/log.js";
import { holdUntilMs } from "./fences.js";

/** What the leader may do, and until when by its own steady clock. */
export interface Mandate {
  term: number;
  /** Version of the term's key: guards every write of this term. */
  termVersion: number;
  /** Until then everything. */
  fullUntilMs: number;
  /** Until then reports may be acknowledged; never less than `fullUntilMs`. */
  ackUntilMs: number;
  /** From then on no earlier leader can acknowledge anything; Infinity while that is unknown. */
  othersSilentFromMs: number;
}

export interface ElectionNews {
  /** Null: not leading. The same term comes again whenever a time moves. */
  mandate: Mandate | null;
  /** Name of the leader as far as we know; null: nobody. */
  leader: string | null;
  /** That leader's term. */
  term: number;
}

export interface ElectionOptions {
  node: string;
  /** Different in each process, so that a process does not take its forerunner's hold for its own. */
  life: string;
  peers: string[];
  state: StateClient;
  clock: Clock;
  send: (peer: string, message: PeerMessage) => void;
  /** Between 0 and 1. */
  random: () => number;
  onNews: (news: ElectionNews) => void;
  ttlMs: number;
  probeMs: number;
}

interface Hold {
  term: number;
  node: string;
  life: string;
  lease: number;
}

interface LeadView {
  termVersion: number;
  term: number;
  hold: Hold | null;
}

type Message =
  | { kind: "probe" }
  | { kind: "probed"; view: LeadView | null; sentMs: number }
  | { kind: "campaigned"; won: { lease: number; sentMs: number; revision: number; term: number } | null }
  | { kind: "renewed"; term: number; outcome: "ok" | "ended" | "failed"; sentMs: number }
  | { kind: "peer"; message: PeerMessage }
  | { kind: "deposed"; term: number }
  | { kind: "behind"; term: number }
  | { kind: "refused"; peer: string };

/** A renewal without an answer is tried again after this. */
const RENEW_MS = 1300;
/** How long a vouching counts, from when it was asked for. */
export const VOUCH_MS = 2000;
/** A peer vouches only if it was refused this recently, and served no later than that. */
const REFUSED_WITHIN_MS = 1500;
/** A leader that falls behind lets the others try for so long. */
const STAND_BACK_MS = 20_000;

export function readLead(items: Item[]): LeadView {
  const view: LeadView = { termVersion: 0, term: 0, hold: null };
  for (const item of items) {
    const o = asObject(item.value);
    if (item.key === keys.term) {
      view.termVersion = item.version;
      view.term = asCount(o?.n) ?? 0;
    } else if (item.key === keys.hold) {
      view.hold = {
        term: asCount(o?.n) ?? 0,
        node: asText(o?.node) ?? "",
        life: asText(o?.life) ?? "",
        lease: asCount(o?.lease) ?? 0,
      };
    }
  }
  return view;
}

/** May we vouch that the state service refuses everybody, and that no later term is known to us? Pure. */
export function mayVouch(facts: {
  nowMs: number;
  everServed: boolean;
  lastServedSentMs: number;
  lastRefusedMs: number;
  knownTerm: number;
  askedTerm: number;
}): boolean {
  return (
    // A restarted node knows nothing until it has read the state service.
    facts.everServed &&
    facts.knownTerm <= facts.askedTerm &&
    facts.lastRefusedMs > facts.lastServedSentMs &&
    facts.nowMs - facts.lastRefusedMs <= REFUSED_WITHIN_MS
  );
}

/** More than half of all controllers, ourselves included. */
export function isMajority(yes: number, size: number): boolean {
  return yes * 2 > size;
}

/** Owns the term: campaigns, renews, vouches. Others learn of it through `onNews`. */
export class Elector extends Actor<Message> {
  private knownTerm = 0;
  private everRead = false;
  private leader: string | null = null;
  private leaderTerm = 0;
  private mine: { term: number; termVersion: number; lease: number; renewedSentMs: number } | null = null;
  private campaigning = false;
  private busy = false;
  private confirmed = new Set<string>();
  private othersSilentFromMs = Infinity;
  private ask = 0;
  private asks = new Map<number, { sentMs: number; term: number; yes: Set<string> }>();
  private vouchedUntilMs = -Infinity;
  private timer: Timer | null = null;
  private stopped = false;
  private standBackUntilMs = -Infinity;
  /** The leader, when its host refuses connections. */
  private suspect: string | null = null;

  constructor(private readonly o: ElectionOptions) {
    super();
  }

  start(): void {
    this.tell({ kind: "probe" });
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  protected override failed(message: Message, error: unknown): void {
    log.error(`election: ${message.kind}: ${String((error as Error)?.stack ?? error)}`);
  }

  protected override handle(message: Message): void {
    switch (message.kind) {
      case "probe":
        this.probe();
        break;
      case "probed":
        this.probed(message.view);
        break;
      case "campaigned":
        this.campaigned(message.won);
        break;
      case "renewed":
        this.renewed(message.term, message.outcome, message.sentMs);
        break;
      case "peer":
        this.heard(message.message);
        break;
      case "deposed":
        if (this.mine && this.mine.term === message.term) this.resign("a later term has begun");
        break;
      case "refused":
        // Only a suspicion (a node without free sockets refuses, too), so nothing is concluded from it but that a new
        // term may begin early: what the old leader may still do is as bounded as ever, by guards, tokens and times.
        if (message.peer === this.leader && !this.mine) {
          this.suspect = message.peer;
          this.again(0);
        }
        break;
      case "behind":
        if (this.mine && this.mine.term === message.term) {
          this.standBackUntilMs = this.o.clock.nowMs() + STAND_BACK_MS;
          this.resign("this node falls behind, others do not");
        }
        break;
    }
  }

  private again(delayMs: number): void {
    this.timer?.cancel();
    if (this.stopped) return;
    this.timer = this.o.clock.after(delayMs, () => this.tell({ kind: "probe" }));
  }

  private probe(): void {
    if (this.busy) return;
    this.busy = true;
    const sentMs = this.o.clock.nowMs();
    if (this.mine) {
      const { term, lease } = this.mine;
      void this.o.state
        .renewLease(lease, sentMs + RENEW_MS)
        .then((outcome) => this.tell({ kind: "renewed", term, outcome, sentMs }));
    } else {
      void this.o.state.list(keys.lead, sentMs + 1500).then((list) => {
        this.tell({ kind: "probed", view: list.kind === "ok" ? readLead(list.items) : null, sentMs });
      });
    }
  }

  private probed(view: LeadView | null): void {
    this.busy = false;
    if (!view) {
      this.again(this.o.probeMs);
      return;
    }
    this.everRead = true;
    this.knownTerm = Math.max(this.knownTerm, view.term);
    this.setLeader(view.hold ? view.hold.node : null, view.hold?.term ?? 0);
    const { suspect } = this;
    this.suspect = null;
    if (view.hold && suspect !== null && view.hold.node === suspect) {
      this.endHold(view.hold, `${suspect} refuses connections`);
      return;
    }
    if (!view.hold) {
      if (this.o.clock.nowMs() < this.standBackUntilMs) this.again(this.o.probeMs);
      else this.campaign(view);
      return;
    }
    if (view.hold.node === this.o.node && view.hold.life !== this.o.life) {
      // Our own forerunner's hold: that process is certainly over, so nobody need wait for its lease.
      this.endHold(view.hold, "it was this node's former process's");
      return;
    }
    this.again(this.o.probeMs);
  }

  private endHold(hold: Hold, reason: string): void {
    this.busy = true;
    log.info(`ending the hold of term ${hold.term}: ${reason}`);
    void this.o.state.endLease(hold.lease, this.o.clock.nowMs() + 1000).then(() => {
      this.busy = false;
      this.tell({ kind: "probe" });
    });
  }

  private campaign(view: LeadView): void {
    if (this.campaigning) return;
    this.campaigning = true;
    this.busy = true;
    const term = view.term + 1;
    const run = async (): Promise<void> => {
      const start = this.o.clock.nowMs();
      const lease = await this.o.state.openLease(this.o.ttlMs, start + 1500);
      if (lease === null) {
        this.tell({ kind: "campaigned", won: null });
        return;
      }
      const sentMs = start;
      const outcome = await this.o.state.commit(
        [
          { key: keys.hold, version: 0 },
          { key: keys.term, version: view.termVersion },
        ],
        [
          { put: keys.term, value: { n: term, node: this.o.node } },
          { put: keys.hold, value: { n: term, node: this.o.node, life: this.o.life, lease }, lease },
        ],
        this.o.clock.nowMs() + 1500,
      );
      let revision = outcome.kind === "ok" ? outcome.revision : -1;
      if (outcome.kind === "unknown") {
        // Perhaps carried out: read, never guess.
        const list = await this.o.state.list(keys.lead, this.o.clock.nowMs() + 1500);
        const now = list.kind === "ok" ? readLead(list.items) : null;
        if (now?.hold?.life === this.o.life && now.hold.term === term && now.hold.lease === lease) {
          revision = now.termVersion;
        }
      }
      if (revision < 0) {
        void this.o.state.endLease(lease, this.o.clock.nowMs() + 1000);
        this.tell({ kind: "campaigned", won: null });
      } else {
        this.tell({ kind: "campaigned", won: { lease, sentMs, revision, term } });
      }
    };
    void run();
  }

  private campaigned(won: { lease: number; sentMs: number; revision: number; term: number } | null): void {
    this.campaigning = false;
    this.busy = false;
    if (!won) {
      this.again(50 + this.o.random() * 150);
      return;
    }
    this.knownTerm = won.term;
    this.mine = { term: won.term, termVersion: won.revision, lease: won.lease, renewedSentMs: won.sentMs };
    this.confirmed = new Set([this.o.node]);
    this.othersSilentFromMs = Infinity;
    this.vouchedUntilMs = -Infinity;
    this.asks.clear();
    this.leader = this.o.node;
    this.leaderTerm = won.term;
    log.info(`leading term ${won.term}`);
    this.checkConfirmed();
    this.askConfirm();
    this.publish();
    this.again(this.renewEveryMs());
  }

  private renewEveryMs(): number {
    return this.o.ttlMs / 4;
  }

  private renewed(term: number, outcome: "ok" | "ended" | "failed", sentMs: number): void {
    this.busy = false;
    if (!this.mine || this.mine.term !== term) {
      this.again(0);
      return;
    }
    if (outcome === "ok") {
      this.mine.renewedSentMs = sentMs;
      this.askConfirm();
      this.publish();
      this.again(this.renewEveryMs());
      return;
    }
    if (outcome === "ended") {
      this.resign("the hold has ended");
      return;
    }
    // Refused or silent: perhaps an outage. Ask the others, in time before the hold runs out.
    this.askVouch();
    const now = this.o.clock.nowMs();
    if (now >= this.ackUntilMs() + 1000 && now >= this.holdUntil() + VOUCH_MS) {
      this.resign("the hold has run out and nobody vouches");
      return;
    }
    this.again(300);
  }

  private holdUntil(): number {
    return this.mine ? holdUntilMs(this.mine.renewedSentMs, this.o.ttlMs) : -Infinity;
  }

  private ackUntilMs(): number {
    return Math.max(this.holdUntil(), this.vouchedUntilMs);
  }

  private resign(reason: string): void {
    if (!this.mine) return;
    log.info(`no longer leading term ${this.mine.term}: ${reason}`);
    const lease = this.mine.lease;
    this.mine = null;
    this.leader = null;
    this.vouchedUntilMs = -Infinity;
    this.o.onNews({ mandate: null, leader: null, term: 0 });
    void this.o.state.endLease(lease, this.o.clock.nowMs() + 1000);
    this.again(100 + this.o.random() * 200);
  }

  private setLeader(leader: string | null, term: number): void {
    if (leader === this.o.node) leader = null;
    // A read may be older than what the leader itself has told us since.
    if (leader !== null && term < this.leaderTerm) return;
    if (leader === this.leader && (leader === null || term === this.leaderTerm)) return;
    this.leader = leader;
    if (leader !== null) this.leaderTerm = term;
    this.o.onNews({ mandate: null, leader, term });
  }

  private publish(): void {
    if (!this.mine) return;
    this.o.onNews({
      mandate: {
        term: this.mine.term,
        termVersion: this.mine.termVersion,
        fullUntilMs: this.holdUntil(),
        ackUntilMs: this.ackUntilMs(),
        othersSilentFromMs: this.othersSilentFromMs,
      },
      leader: this.o.node,
      term: this.mine.term,
    });
  }

  private askConfirm(): void {
    if (!this.mine || this.othersSilentFromMs < Infinity) return;
    for (const peer of this.o.peers) {
      if (!this.confirmed.has(peer)) {
        this.o.send(peer, { kind: "confirm?", from: this.o.node, term: this.mine.term });
      }
    }
  }

  private checkConfirmed(): void {
    if (this.othersSilentFromMs < Infinity || !isMajority(this.confirmed.size, this.o.peers.length + 1))
      return;
    // Whoever led before can still hold a vouching that was given just before the majority confirmed us,
    // or, if its hold was ended early, the rest of that hold.
    this.othersSilentFromMs = this.o.clock.nowMs() + Math.max(VOUCH_MS, this.o.ttlMs) * 1.001 + 50;
  }

  private askVouch(): void {
    if (!this.mine) return;
    const sentMs = this.o.clock.nowMs();
    const ask = ++this.ask;
    this.asks.set(ask, { sentMs, term: this.mine.term, yes: new Set([this.o.node]) });
    for (const [key, old] of this.asks) if (sentMs - old.sentMs > VOUCH_MS) this.asks.delete(key);
    for (const peer of this.o.peers) {
      this.o.send(peer, { kind: "vouch?", from: this.o.node, term: this.mine.term, ask });
    }
  }

  private heard(m: PeerMessage): void {
    const now = this.o.clock.nowMs();
    switch (m.kind) {
      case "confirm?":
        // From now on we vouch for no earlier term: `knownTerm` is what `mayVouch` looks at.
        this.knownTerm = Math.max(this.knownTerm, m.term);
        if (m.term === this.knownTerm && !this.mine) this.setLeader(m.from, m.term);
        if (m.term >= this.knownTerm)
          this.o.send(m.from, { kind: "confirm", from: this.o.node, term: m.term });
        if (this.mine && m.term > this.mine.term) this.resign(`${m.from} leads term ${m.term}`);
        break;
      case "confirm":
        if (this.mine && m.term === this.mine.term && this.o.peers.includes(m.from)) {
          this.confirmed.add(m.from);
          const before = this.othersSilentFromMs;
          this.checkConfirmed();
          if (before !== this.othersSilentFromMs) this.publish();
        }
        break;
      case "vouch?":
        this.o.send(m.from, {
          kind: "vouch",
          from: this.o.node,
          term: m.term,
          ask: m.ask,
          yes:
            this.mine === null &&
            mayVouch({
              nowMs: now,
              everServed: this.everRead,
              lastServedSentMs: this.o.state.lastServedSentMs,
              lastRefusedMs: this.o.state.lastRefusedMs,
              knownTerm: this.knownTerm,
              askedTerm: m.term,
            }),
        });
        break;
      case "vouch": {
        const asked = this.asks.get(m.ask);
        if (!m.yes || !asked || !this.mine || asked.term !== this.mine.term || m.term !== asked.term) break;
        if (!this.o.peers.includes(m.from)) break;
        asked.yes.add(m.from);
        if (isMajority(asked.yes.size, this.o.peers.length + 1)) {
          this.vouchedUntilMs = Math.max(this.vouchedUntilMs, asked.sentMs + VOUCH_MS * 0.999);
          this.publish();
        }
        break;
      }
      default:
        break;
    }
  }
}
