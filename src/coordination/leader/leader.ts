/** The actor that leads while this controller holds a term. Everything of a term lives and ends with it. */
import type { DeliveryResult, MachineType } from "../../protocol/model.js";
import type { HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import type { Timer } from "../../transport/clock.js";
import { Actor } from "../../transport/actor.js";
import type { CloudEvent } from "../provisioning/cloudEvents.js";
import { Estimates } from "../scheduling/estimates.js";
import type { LeadershipChange, LeadershipLease } from "../term/leadershipLease.js";
import { buildTermParts } from "./buildTermParts.js";
import type { LeaderOptions } from "./leaderOptions.js";
import { LeaderTerm } from "./leaderTerm.js";
import type { TermMessage } from "./termMessage.js";

/** Between two looks at what is due by the clock. */
const TICK_MS = 250;

/** All that a leader's mailbox takes. Whatever belongs to a term that is over is dropped. */
export type LeaderMessage =
  /** This controller begins to lead a term, its rights in it move, or it leads no more. */
  | { kind: "election"; change: LeadershipChange }
  /** From a controller that acknowledges heartbeats, this one included. */
  | { kind: "heartbeat server update"; update: HeartbeatServerUpdate }
  | { kind: "delivery finished"; term: number; result: DeliveryResult }
  /** From the cloud's client; machine types come from the state store, too. */
  | { kind: "cloud"; event: CloudEvent }
  /** From a part of that term. */
  | { kind: "term"; term: number; message: TermMessage }
  | { kind: "tick" };

/**
 * The leader's actor: holds the term while this controller leads one, and forwards to it what concerns it. Outlives terms;
 * what is known of machine types is kept from one to the next.
 */
export class Leader extends Actor<LeaderMessage> {
  private term: LeaderTerm | null = null;
  private readonly estimates: Estimates;
  private timer: Timer | null = null;
  private isStopped = false;

  constructor(private readonly options: LeaderOptions) {
    super("leader");
    const { platform } = options;
    this.estimates = new Estimates(new Set([platform.zone, ...platform.peers.map((peer) => peer.zone)]));
  }

  start(): void {
    this.tell({ kind: "tick" });
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  protected override failed(message: LeaderMessage, error: unknown): void {
    const kind = message.kind === "term" ? message.message.kind : message.kind;
    this.logFailure(kind, error);
  }

  protected override handle(message: LeaderMessage): void {
    switch (message.kind) {
      case "election":
        this.leadershipChanged(message.change);
        break;
      case "tick":
        this.tick();
        break;
      case "cloud":
        this.receiveCloudEvent(message.event);
        break;
      case "heartbeat server update":
        this.forwardToTerm(message.update.term, message);
        break;
      case "delivery finished":
        this.forwardToTerm(message.term, message);
        break;
      case "term":
        this.forwardToTerm(message.term, message.message);
        break;
    }
  }

  private forwardToTerm(term: number, message: TermMessage): void {
    if (this.term?.lease.term === term) this.term.handle(message);
  }

  private leadershipChanged({ lease }: LeadershipChange): void {
    if (lease && this.term?.lease.term === lease.term) {
      this.term.lease.renew(lease);
      return;
    }
    this.term?.lease.end();
    this.term = lease ? this.buildTerm(lease) : null;
    if (!this.term) return;
    this.term.begin();
    this.tell({ kind: "tick" });
  }

  private buildTerm(lease: LeadershipLease): LeaderTerm {
    const { term } = lease;
    const parts = buildTermParts(lease, this.options, this.estimates, {
      tell: (message) => this.tell({ kind: "term", term, message }),
      onStoredMachineTypes: (types) =>
        this.tell({ kind: "cloud", event: { kind: "types", types, isStored: true } }),
    });
    return new LeaderTerm(parts, this.options);
  }

  private receiveCloudEvent(event: CloudEvent): void {
    if (event.kind !== "types") {
      this.term?.handle({ kind: "cloud", event });
      return;
    }
    if (!event.isStored || !this.estimates.areTypesKnown) this.setMachineTypes(event.types, !event.isStored);
    this.term?.requestCycle();
  }

  private setMachineTypes(types: MachineType[], fromCloud: boolean): void {
    if (types.length === 0) return;
    const changed = this.estimates.setTypes(types);
    if (changed) this.options.onMachineTypes(types);
    this.term?.machineTypesChanged({ fromCloud, changed });
  }

  private tick(): void {
    if (this.isStopped) return;
    this.timer?.cancel();
    // Without a term there is nothing to do: the next one begins it.
    if (!this.term) return;
    this.timer = this.options.clock.after(TICK_MS, () => this.tell({ kind: "tick" }));
    this.term.tick(this.options.clock.nowMs());
  }
}
