import type { Change, Item, StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import { keys } from "../../bookkeeping/records.js";
import { asNonNegativeInteger, asObject, asNonEmptyString } from "../../protocol/json.js";
import type { PeerMessage } from "../../protocol/peers/messages.js";
import type { Clock, Timer } from "../../transport/clock.js";
import { Actor } from "../../transport/actor.js";
import { log } from "../../transport/log.js";
import { LeaderSuspicion, LIVENESS_WRITE_MS, SUSPICION_MS } from "./leaderSuspicion.js";
import { leadershipLeaseUntilMs, type LeadershipChange } from "../term/leadershipLease.js";

export interface ElectionOptions {
  node: string;
  /** Different in each process, so that a process does not take its forerunner's leadership for its own. */
  incarnation: string;
  peers: string[];
  stateStore: StateStoreClient;
  clock: Clock;
  send: (peer: string, message: PeerMessage) => void;
  /** Between 0 and 1. */
  random: () => number;
  onLeadershipChange: (news: LeadershipChange) => void;
  leaseMs: number;
  probeMs: number;
}

interface LeadershipRecord {
  term: number;
  node: string;
  incarnation: string;
  lease: number;
}

interface LeadershipView {
  /** The state service's revision when it was read. */
  revision: number;
  termVersion: number;
  term: number;
  record: LeadershipRecord | null;
}

type Message =
  | { kind: "probe" }
  | { kind: "probed"; view: LeadershipView | null; sentMs: number }
  | { kind: "campaigned"; won: { lease: number; sentMs: number; revision: number; term: number } | null }
  | { kind: "renewed"; term: number; outcome: "ok" | "ended" | "failed"; sentMs: number }
  | { kind: "peer"; message: PeerMessage }
  | { kind: "deposed"; term: number }
  | { kind: "lagging"; term: number }
  | { kind: "peer refused"; peer: string; othersReachable: boolean }
  | { kind: "liveness write" };

/** A renewal without an answer is tried again after this. */
const RENEW_MS = 1300;
/** So long a read of the leadership may take. */
const READ_MS = 1500;
/** How long an extension counts, from when it was asked for. */
export const EXTENSION_MS = 2000;
/** A peer confirms an extension only if it was refused this recently, and served no later than that. */
const REFUSED_WITHIN_MS = 1500;
/** A leader that falls behind lets the others try for so long. */
const STEP_DOWN_PAUSE_MS = 20_000;

export function readLeadership(items: Item[], revision: number): LeadershipView {
  const view: LeadershipView = { revision, termVersion: 0, term: 0, record: null };
  for (const item of items) {
    const o = asObject(item.value);
    if (item.key === keys.term) {
      view.termVersion = item.version;
      view.term = asNonNegativeInteger(o?.n) ?? 0;
    } else if (item.key === keys.leader) {
      view.record = {
        term: asNonNegativeInteger(o?.n) ?? 0,
        node: asNonEmptyString(o?.node) ?? "",
        incarnation: asNonEmptyString(o?.life) ?? "",
        lease: asNonNegativeInteger(o?.lease) ?? 0,
      };
    }
  }
  return view;
}

/** May we confirm that the state service refuses everybody, and that no later term is known to us? Pure. */
export function mayConfirmExtension(facts: {
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

/** Owns the term: campaigns, renews, asks its peers for an extension in an outage. Others learn of it through `onNews`. */
export class Elector extends Actor<Message> {
  private knownTerm = 0;
  private hasRead = false;
  private leader: string | null = null;
  private leaderTerm = 0;
  private ownTerm: { term: number; termVersion: number; lease: number; renewedSentMs: number } | null = null;
  private campaigning = false;
  private requestInFlight = false;
  private confirmedBy = new Set<string>();
  private earlierLeadersSilentFromMs = Infinity;
  private lastRequest = 0;
  private openRequests = new Map<number, { sentMs: number; term: number; yes: Set<string> }>();
  private extendedUntilMs = -Infinity;
  private timer: Timer | null = null;
  private stopped = false;
  private noCampaignUntilMs = -Infinity;
  private readonly suspicion = new LeaderSuspicion();
  /** Until then we show, as leader, that we live. */
  private livenessWritesUntilMs = -Infinity;

  constructor(private readonly options: ElectionOptions) {
    super("election");
  }

  start(): void {
    this.tell({ kind: "probe" });
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  protected override handle(message: Message): void {
    switch (message.kind) {
      case "probe":
        this.probe();
        break;
      case "probed":
        this.probed(message.view, message.sentMs);
        break;
      case "campaigned":
        this.campaigned(message.won);
        break;
      case "renewed":
        this.renewed(message.term, message.outcome, message.sentMs);
        break;
      case "peer":
        this.receive(message.message);
        break;
      case "deposed":
        if (this.ownTerm && this.ownTerm.term === message.term) this.resign("a later term has begun");
        break;
      case "peer refused":
        this.peerRefused(message.peer, message.othersReachable);
        break;
      case "liveness write":
        this.writeLivenessRecord();
        break;
      case "lagging":
        if (this.ownTerm && this.ownTerm.term === message.term) {
          this.noCampaignUntilMs = this.options.clock.nowMs() + STEP_DOWN_PAUSE_MS;
          this.resign("this node falls behind, others do not");
        }
        break;
    }
  }

  private probeAfter(delayMs: number): void {
    this.timer?.cancel();
    if (this.stopped) return;
    this.timer = this.options.clock.after(delayMs, () => this.tell({ kind: "probe" }));
  }

  private probe(): void {
    if (this.requestInFlight) return;
    this.requestInFlight = true;
    const sentMs = this.options.clock.nowMs();
    if (this.ownTerm) {
      const { term, lease } = this.ownTerm;
      void this.options.stateStore
        .renewLease(lease, sentMs + RENEW_MS)
        .then((outcome) => this.tell({ kind: "renewed", term, outcome, sentMs }));
    } else {
      void this.fetchLeadership(sentMs + READ_MS).then((view) => this.tell({ kind: "probed", view, sentMs }));
    }
  }

  /** Null when the state service did not answer in time. */
  private async fetchLeadership(deadlineMs: number): Promise<LeadershipView | null> {
    const list = await this.options.stateStore.list(keys.leadership, deadlineMs);
    return list.kind === "ok" ? readLeadership(list.items, list.revision) : null;
  }

  /** The record that names us leader of that term; it goes with the leadership lease. */
  private leadershipRecordChange(term: number, lease: number): Change {
    const { node, incarnation } = this.options;
    return { put: keys.leader, value: { n: term, node, life: incarnation, lease }, lease };
  }

  private probed(view: LeadershipView | null, sentMs: number): void {
    this.requestInFlight = false;
    if (!view) {
      this.probeAfter(this.options.probeMs);
      return;
    }
    this.hasRead = true;
    this.knownTerm = Math.max(this.knownTerm, view.term);
    this.setLeader(view.record ? view.record.node : null, view.record?.term ?? 0);
    if (view.record) {
      const { node, term } = view.record;
      const read = { leader: node, term, revision: view.revision, sentMs };
      if (this.suspicion.isConfirmedBy(read, this.options.clock.nowMs())) {
        this.endLease(view.record, `${node} refuses connections`);
        return;
      }
    }
    if (!view.record) {
      if (this.options.clock.nowMs() < this.noCampaignUntilMs) this.probeAfter(this.options.probeMs);
      else this.campaign(view);
      return;
    }
    if (view.record.node === this.options.node && view.record.incarnation !== this.options.incarnation) {
      // Our own forerunner's lease: that process is certainly over, so nobody need wait for its lease.
      this.endLease(view.record, "it was this node's former process's");
      return;
    }
    this.probeAfter(this.options.probeMs);
  }

  /**
   * Only a suspicion (a node without free sockets refuses, too), so nothing is concluded from it but that a new term may
   * begin early: what the old leader may still do is as bounded as ever, by guards, tokens and times.
   */
  private peerRefused(peer: string, othersReachable: boolean): void {
    const now = this.options.clock.nowMs();
    if (this.ownTerm) {
      // The others see us refuse as well, and may take us for over.
      if (othersReachable) return;
      const showing = now < this.livenessWritesUntilMs;
      this.livenessWritesUntilMs = now + SUSPICION_MS;
      if (!showing) this.writeLivenessRecord();
    } else if (peer === this.leader) {
      this.suspicion.raise(peer, this.leaderTerm, othersReachable, now);
      this.probeAfter(0);
    }
  }

  /**
   * Writes our leadership record anew, now and a few times more. A leader that happened to write nothing while links
   * between controllers were refused lost its lease to the others, and 50 workers theirs with it.
   */
  private writeLivenessRecord(): void {
    const { clock, stateStore } = this.options;
    const now = clock.nowMs();
    if (this.stopped || !this.ownTerm || now >= this.livenessWritesUntilMs) return;
    const { term, termVersion, lease } = this.ownTerm;
    void stateStore.compareAndSwap(
      [{ key: keys.term, version: termVersion }],
      [this.leadershipRecordChange(term, lease)],
      now + LIVENESS_WRITE_MS,
    );
    clock.after(LIVENESS_WRITE_MS, () => this.tell({ kind: "liveness write" }));
  }

  private endLease(record: LeadershipRecord, reason: string): void {
    this.requestInFlight = true;
    log.info(`ending the lease of term ${record.term}: ${reason}`);
    void this.options.stateStore.endLease(record.lease, this.options.clock.nowMs() + 1000).then(() => {
      this.requestInFlight = false;
      this.tell({ kind: "probe" });
    });
  }

  private campaign(view: LeadershipView): void {
    if (this.campaigning) return;
    this.campaigning = true;
    this.requestInFlight = true;
    const term = view.term + 1;
    const run = async (): Promise<void> => {
      const start = this.options.clock.nowMs();
      const lease = await this.options.stateStore.openLease(this.options.leaseMs, start + 1500);
      if (lease === null) {
        this.tell({ kind: "campaigned", won: null });
        return;
      }
      const sentMs = start;
      const outcome = await this.options.stateStore.compareAndSwap(
        [
          { key: keys.leader, version: 0 },
          { key: keys.term, version: view.termVersion },
        ],
        [
          { put: keys.term, value: { n: term, node: this.options.node } },
          this.leadershipRecordChange(term, lease),
        ],
        this.options.clock.nowMs() + 1500,
      );
      let revision = outcome.kind === "ok" ? outcome.revision : -1;
      if (outcome.kind === "unknown") {
        // Perhaps carried out: read, never guess.
        const now = await this.fetchLeadership(this.options.clock.nowMs() + READ_MS);
        if (
          now?.record?.incarnation === this.options.incarnation &&
          now.record.term === term &&
          now.record.lease === lease
        ) {
          revision = now.termVersion;
        }
      }
      if (revision < 0) {
        void this.options.stateStore.endLease(lease, this.options.clock.nowMs() + 1000);
        this.tell({ kind: "campaigned", won: null });
      } else {
        this.tell({ kind: "campaigned", won: { lease, sentMs, revision, term } });
      }
    };
    void run();
  }

  private campaigned(won: { lease: number; sentMs: number; revision: number; term: number } | null): void {
    this.campaigning = false;
    this.requestInFlight = false;
    if (!won) {
      this.probeAfter(50 + this.options.random() * 150);
      return;
    }
    this.knownTerm = won.term;
    this.ownTerm = { term: won.term, termVersion: won.revision, lease: won.lease, renewedSentMs: won.sentMs };
    this.confirmedBy = new Set([this.options.node]);
    this.earlierLeadersSilentFromMs = Infinity;
    this.extendedUntilMs = -Infinity;
    this.openRequests.clear();
    this.leader = this.options.node;
    this.leaderTerm = won.term;
    log.info(`leading term ${won.term}`);
    this.checkQuorum();
    this.announceTerm();
    this.publish();
    this.probeAfter(this.renewEveryMs());
  }

  private renewEveryMs(): number {
    return this.options.leaseMs / 4;
  }

  private renewed(term: number, outcome: "ok" | "ended" | "failed", sentMs: number): void {
    this.requestInFlight = false;
    if (!this.ownTerm || this.ownTerm.term !== term) {
      this.probeAfter(0);
      return;
    }
    if (outcome === "ok") {
      this.ownTerm.renewedSentMs = sentMs;
      this.announceTerm();
      this.publish();
      this.probeAfter(this.renewEveryMs());
      return;
    }
    if (outcome === "ended") {
      this.resign("the leadership lease has ended");
      return;
    }
    // Refused or silent: perhaps an outage. Ask the others, in time before the lease runs out.
    this.requestExtension();
    const now = this.options.clock.nowMs();
    if (now >= this.acknowledgeUntilMs() + 1000 && now >= this.leaseUntilMs() + EXTENSION_MS) {
      this.resign("the leadership lease has run out and no quorum extends it");
      return;
    }
    this.probeAfter(300);
  }

  private leaseUntilMs(): number {
    return this.ownTerm
      ? leadershipLeaseUntilMs(this.ownTerm.renewedSentMs, this.options.leaseMs)
      : -Infinity;
  }

  private acknowledgeUntilMs(): number {
    return Math.max(this.leaseUntilMs(), this.extendedUntilMs);
  }

  private resign(reason: string): void {
    if (!this.ownTerm) return;
    log.info(`no longer leading term ${this.ownTerm.term}: ${reason}`);
    const lease = this.ownTerm.lease;
    this.ownTerm = null;
    this.leader = null;
    this.extendedUntilMs = -Infinity;
    this.options.onLeadershipChange({ lease: null, leader: null, term: 0 });
    void this.options.stateStore.endLease(lease, this.options.clock.nowMs() + 1000);
    this.probeAfter(100 + this.options.random() * 200);
  }

  private setLeader(leader: string | null, term: number): void {
    if (leader === this.options.node) leader = null;
    // A read may be older than what the leader itself has told us since.
    if (leader !== null && term < this.leaderTerm) return;
    if (leader === this.leader && (leader === null || term === this.leaderTerm)) return;
    this.leader = leader;
    if (leader !== null) this.leaderTerm = term;
    this.options.onLeadershipChange({ lease: null, leader, term });
  }

  private publish(): void {
    if (!this.ownTerm) return;
    this.options.onLeadershipChange({
      lease: {
        term: this.ownTerm.term,
        termVersion: this.ownTerm.termVersion,
        writeUntilMs: this.leaseUntilMs(),
        acknowledgeUntilMs: this.acknowledgeUntilMs(),
        earlierLeadersSilentFromMs: this.earlierLeadersSilentFromMs,
      },
      leader: this.options.node,
      term: this.ownTerm.term,
    });
  }

  private announceTerm(): void {
    if (!this.ownTerm || this.earlierLeadersSilentFromMs < Infinity) return;
    for (const peer of this.options.peers) {
      if (!this.confirmedBy.has(peer)) {
        this.options.send(peer, {
          kind: "term announcement",
          from: this.options.node,
          term: this.ownTerm.term,
        });
      }
    }
  }

  private checkQuorum(): void {
    if (
      this.earlierLeadersSilentFromMs < Infinity ||
      !isMajority(this.confirmedBy.size, this.options.peers.length + 1)
    )
      return;
    // Whoever led before can still hold an extension that was confirmed just before the majority confirmed us,
    // or, if its lease was ended early, the rest of that lease.
    this.earlierLeadersSilentFromMs =
      this.options.clock.nowMs() + Math.max(EXTENSION_MS, this.options.leaseMs) * 1.001 + 50;
  }

  private requestExtension(): void {
    if (!this.ownTerm) return;
    const sentMs = this.options.clock.nowMs();
    const requestId = ++this.lastRequest;
    this.openRequests.set(requestId, { sentMs, term: this.ownTerm.term, yes: new Set([this.options.node]) });
    for (const [key, old] of this.openRequests)
      if (sentMs - old.sentMs > EXTENSION_MS) this.openRequests.delete(key);
    for (const peer of this.options.peers) {
      this.options.send(peer, {
        kind: "extension request",
        from: this.options.node,
        term: this.ownTerm.term,
        requestId,
      });
    }
  }

  private receive(message: PeerMessage): void {
    const now = this.options.clock.nowMs();
    switch (message.kind) {
      case "term announcement":
        // From now on we confirm no extension of an earlier term: `mayConfirmExtension` looks at `knownTerm`.
        this.knownTerm = Math.max(this.knownTerm, message.term);
        if (message.term === this.knownTerm && !this.ownTerm) this.setLeader(message.from, message.term);
        if (message.term >= this.knownTerm)
          this.options.send(message.from, {
            kind: "term acknowledgement",
            from: this.options.node,
            term: message.term,
          });
        if (this.ownTerm && message.term > this.ownTerm.term)
          this.resign(`${message.from} leads term ${message.term}`);
        break;
      case "term acknowledgement":
        if (this.ownTerm && message.term === this.ownTerm.term && this.options.peers.includes(message.from)) {
          this.confirmedBy.add(message.from);
          const before = this.earlierLeadersSilentFromMs;
          this.checkQuorum();
          if (before !== this.earlierLeadersSilentFromMs) this.publish();
        }
        break;
      case "extension request":
        this.options.send(message.from, {
          kind: "extension vote",
          from: this.options.node,
          term: message.term,
          requestId: message.requestId,
          isGranted:
            this.ownTerm === null &&
            mayConfirmExtension({
              nowMs: now,
              everServed: this.hasRead,
              lastServedSentMs: this.options.stateStore.lastServedSentMs,
              lastRefusedMs: this.options.stateStore.lastRefusedMs,
              knownTerm: this.knownTerm,
              askedTerm: message.term,
            }),
        });
        break;
      case "extension vote": {
        const asked = this.openRequests.get(message.requestId);
        if (
          !message.isGranted ||
          !asked ||
          !this.ownTerm ||
          asked.term !== this.ownTerm.term ||
          message.term !== asked.term
        )
          break;
        if (!this.options.peers.includes(message.from)) break;
        asked.yes.add(message.from);
        if (isMajority(asked.yes.size, this.options.peers.length + 1)) {
          this.extendedUntilMs = Math.max(this.extendedUntilMs, asked.sentMs + EXTENSION_MS * 0.999);
          this.publish();
        }
        break;
      }
      default:
        break;
    }
  }
}
