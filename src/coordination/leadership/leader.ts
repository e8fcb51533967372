import type { CommandDelivery, DeliveryResult, MachineType } from "../../protocol/model.js";
import type { Grant, ReportServerUpdate } from "../../protocol/peers.js";
import type { Transaction } from "../../bookkeeping/ledger.js";
import type {
  CommitOutcome,
  Item,
  ListOutcome,
  StateClient,
  WatchOutcome,
} from "../../bookkeeping/stateClient.js";
import type { Operator } from "../../settings/operator.js";
import type { Platform } from "../../settings/platform.js";
import type { Clock, Timer } from "../../transport/clock.js";
import { Actor } from "../../transport/mailbox.js";
import { log } from "../../transport/log.js";
import type { CloudClient, CloudNews } from "../provisioning/cloudClient.js";
import type { ElectionNews } from "./election.js";
import type { ReportServerLimits } from "../reports/reportServer.js";
import { Estimates } from "../scheduling/estimates.js";
import { LeaderTerm } from "./leaderTerm.js";

export type LeaderMessage =
  | { kind: "election"; news: ElectionNews }
  | { kind: "report server update"; serving: ReportServerUpdate }
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
  | { kind: "delivery finished"; term: number; result: DeliveryResult }
  | { kind: "cloud"; news: CloudNews }
  | { kind: "cycle"; term: number }
  | { kind: "write"; term: number }
  | { kind: "tick" };

export interface LeaderOptions {
  platform: Platform;
  operator: Operator;
  state: StateClient;
  clock: Clock;
  cloud: CloudClient;
  /** Has commands carried, by the controller that serves the machine or from here. */
  deliver: (term: number, via: string | null, delivery: CommandDelivery) => void;
  sendGrant: (peer: string, grant: Grant) => void;
  /** Who serves workers: the report server beside us spreads them, too. */
  onServers: (servers: Grant["servers"]) => void;
  /** What the report server beside us may acknowledge. */
  onLimits: (limits: ReportServerLimits) => void;
  /** Workers that report to this node. */
  workerCount: () => number;
  lagMs: () => number;
  /** To the leader itself: how answers of the outside come back into its mailbox. */
  tell: (message: LeaderMessage) => void;
  onDeposed: (term: number) => void;
  /** This node falls behind, and others do not. */
  onBehind: (term: number) => void;
  onTypes: (types: MachineType[]) => void;
  onTaskCounts: (term: number, jobs: { id: string; done: number; running: number }[]) => void;
}

const TICK_MS = 250;

/** The leader's actor: holds the term's parts while there is one, and hands each message to the part it concerns. */
export class Leader extends Actor<LeaderMessage> {
  private leaderTerm: LeaderTerm | null = null;
  private readonly options: LeaderOptions;
  private readonly estimates: Estimates;
  private timer: Timer | null = null;
  private stopped = false;

  constructor(options: Omit<LeaderOptions, "tell">) {
    super();
    this.options = { ...options, tell: (message) => this.tell(message) };
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
    if (
      !r ||
      r.lease.term !== (message.kind === "report server update" ? message.serving.term : message.term)
    )
      return;
    switch (message.kind) {
      case "report server update":
        r.supervisor.receiveUpdate(message.serving);
        break;
      case "delivery finished":
        r.supervisor.deliveryFinished(message.result);
        break;
      case "loaded":
        r.recordStore.loaded(message.heads, message.chunks, message.rest, message.sentMs);
        r.updateLimits(this.options.clock.nowMs());
        break;
      case "watched":
        r.recordStore.watched(message.outcome, message.sentMs);
        break;
      case "reread":
        r.recordStore.reread(message.key, message.item, message.ok);
        break;
      case "committed":
        r.recordStore.committed(message.transaction, message.outcome);
        break;
      case "cycle":
        r.scheduler.runCycle();
        break;
      case "write":
        r.recordStore.writeNow();
        break;
    }
  }

  private elected(news: ElectionNews): void {
    const { lease } = news;
    if (this.leaderTerm && this.leaderTerm.lease.term === lease?.term) {
      this.leaderTerm.lease = lease;
      return;
    }
    if (this.leaderTerm) this.leaderTerm.over = true;
    this.leaderTerm = lease ? new LeaderTerm(lease, this.options, this.estimates) : null;
    if (!this.leaderTerm) return;
    this.leaderTerm.recordStore.load();
    this.tell({ kind: "tick" });
  }

  private heardFromCloud(news: CloudNews): void {
    if (news.kind !== "types") {
      this.leaderTerm?.provisioner.receiveNews(news);
      return;
    }
    if (!news.stored || !this.estimates.typesKnown) this.setTypes(news.types, !news.stored);
    this.leaderTerm?.scheduler.requestCycle();
  }

  private setTypes(types: MachineType[], fromCloud: boolean): void {
    if (types.length === 0) return;
    const changed = this.estimates.setTypes(types);
    if (changed) this.options.onTypes(types);
    this.leaderTerm?.typesChanged(fromCloud && changed, fromCloud);
  }

  private tick(): void {
    if (this.stopped) return;
    this.timer?.cancel();
    // Without a term there is nothing to do: the next one begins it.
    if (!this.leaderTerm) return;
    this.timer = this.options.clock.after(TICK_MS, () => this.tell({ kind: "tick" }));
    this.leaderTerm.tick(this.options.clock.nowMs());
  }
}
