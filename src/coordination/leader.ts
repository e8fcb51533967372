import type { Errand, ErrandResult, MachineType } from "../protocol/model.js";
import type { Grant, Serving } from "../protocol/peers.js";
import type { Transaction } from "../bookkeeping/ledger.js";
import type {
  CommitOutcome,
  Item,
  ListOutcome,
  StateClient,
  WatchOutcome,
} from "../bookkeeping/stateClient.js";
import type { Operator } from "../settings/operator.js";
import type { Platform } from "../settings/platform.js";
import type { Clock, Timer } from "../transport/clock.js";
import { Actor } from "../transport/mailbox.js";
import { log } from "../transport/log.js";
import type { CloudDesk, CloudNews } from "./cloudDesk.js";
import type { ElectionNews } from "./election.js";
import type { AckLimits } from "./reportServer.js";
import { Estimates } from "./estimates.js";
import { LeaderTerm } from "./leaderTerm.js";

export type LeaderMessage =
  | { kind: "election"; news: ElectionNews }
  | { kind: "serving"; serving: Serving }
  | {
      kind: "loaded";
      term: number;
      heads: ListOutcome;
      chunks: ListOutcome;
      rest: Item[] | null;
      sentMs: number;
    }
  | { kind: "watched"; term: number; outcome: WatchOutcome; sentMs: number }
  | { kind: "reread"; term: number; key: string; item: Item | null; ok: boolean }
  | { kind: "committed"; term: number; transaction: Transaction; outcome: CommitOutcome }
  | { kind: "errand"; term: number; result: ErrandResult }
  | { kind: "cloud"; news: CloudNews }
  | { kind: "pass"; term: number }
  | { kind: "write"; term: number }
  | { kind: "tick" };

export interface LeaderOptions {
  platform: Platform;
  operator: Operator;
  state: StateClient;
  clock: Clock;
  cloud: CloudDesk;
  /** Has commands carried, by the controller that serves the machine or from here. */
  errand: (term: number, via: string | null, errand: Errand) => void;
  sendGrant: (peer: string, grant: Grant) => void;
  /** Who serves workers: the report server beside us spreads them, too. */
  onHomes: (homes: Grant["homes"]) => void;
  /** What the report server beside us may acknowledge. */
  onAckLimits: (limits: AckLimits) => void;
  /** Workers that report to this node. */
  served: () => number;
  lagMs: () => number;
  /** To the leader itself: how answers of the outside come back into its mailbox. */
  tell: (message: LeaderMessage) => void;
  onDeposed: (term: number) => void;
  /** This node falls behind, and others do not. */
  onBehind: (term: number) => void;
  onTypes: (types: MachineType[]) => void;
  onTally: (term: number, jobs: { id: string; done: number; running: number }[]) => void;
}

const TICK_MS = 250;

/** The leader's actor: holds the term's parts while there is one, and hands each message to the part it concerns. */
export class Leader extends Actor<LeaderMessage> {
  private leaderTerm: LeaderTerm | null = null;
  private readonly o: LeaderOptions;
  private readonly estimates: Estimates;
  private timer: Timer | null = null;
  private stopped = false;

  constructor(options: Omit<LeaderOptions, "tell">) {
    super();
    this.o = { ...options, tell: (message) => this.tell(message) };
    this.estimates = new Estimates(
      new Set([options.platform.zone, ...options.platform.peers.map((p) => p.zone)]),
    );
  }

  start(): void {
    this.tell({ kind: "tick" });
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  protected override failed(message: LeaderMessage, error: unknown): void {
    log.error(`leader: ${message.kind}: ${String((error as Error)?.stack ?? error)}`);
  }

  protected override handle(message: LeaderMessage): void {
    switch (message.kind) {
      case "election":
        this.elected(message.news);
        return;
      case "tick":
        this.tick();
        return;
      case "cloud":
        this.heardFromCloud(message.news);
        return;
      default:
        break;
    }
    // Whatever belongs to a term that is over is dropped.
    const r = this.leaderTerm;
    if (!r || r.mandate.term !== (message.kind === "serving" ? message.serving.term : message.term)) return;
    switch (message.kind) {
      case "serving":
        r.supervisor.served(message.serving);
        break;
      case "errand":
        r.supervisor.errandBack(message.result);
        break;
      case "loaded":
        r.archive.loaded(message.heads, message.chunks, message.rest, message.sentMs);
        r.limitAcks(this.o.clock.nowMs());
        break;
      case "watched":
        r.archive.watched(message.outcome, message.sentMs);
        break;
      case "reread":
        r.archive.reread(message.key, message.item, message.ok);
        break;
      case "committed":
        r.archive.committed(message.transaction, message.outcome);
        break;
      case "pass":
        r.placer.pass();
        break;
      case "write":
        r.archive.writeNow();
        break;
    }
  }

  private elected(news: ElectionNews): void {
    const { mandate } = news;
    if (this.leaderTerm && this.leaderTerm.mandate.term === mandate?.term) {
      this.leaderTerm.mandate = mandate;
      return;
    }
    if (this.leaderTerm) this.leaderTerm.over = true;
    this.leaderTerm = mandate ? new LeaderTerm(mandate, this.o, this.estimates) : null;
    if (!this.leaderTerm) return;
    this.leaderTerm.archive.load();
    this.tell({ kind: "tick" });
  }

  private heardFromCloud(news: CloudNews): void {
    if (news.kind !== "types") {
      this.leaderTerm?.fleet.heard(news);
      return;
    }
    if (!news.stored || !this.estimates.typesKnown) this.setTypes(news.types, !news.stored);
    this.leaderTerm?.placer.requestPass();
  }

  private setTypes(types: MachineType[], fromCloud: boolean): void {
    if (types.length === 0) return;
    const changed = this.estimates.setTypes(types);
    if (changed) this.o.onTypes(types);
    this.leaderTerm?.typesChanged(fromCloud && changed, fromCloud);
  }

  private tick(): void {
    if (this.stopped) return;
    this.timer?.cancel();
    // Without a term there is nothing to do: the next one begins it.
    if (!this.leaderTerm) return;
    this.timer = this.o.clock.after(TICK_MS, () => this.tell({ kind: "tick" }));
    this.leaderTerm.tick(this.o.clock.nowMs());
  }
}
