/** The actor that runs the term that this controller leads, if any. All state of a term is discarded when it ends. */
import type { DeliveryResult, MachineType } from "../../protocol/model.js";
import type { HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import type { Timer } from "../../transport/clock.js";
import { Actor } from "../../transport/actor.js";
import type { CloudEvent } from "../provisioning/cloudEvents.js";
import { Estimates } from "../scheduling/estimates.js";
import type { LeadershipChange, LeadershipLease } from "../term/leadershipLease.js";
import { buildTermComponents } from "./buildTermComponents.js";
import type { LeaderOptions } from "./leaderOptions.js";
import { LeaderTerm } from "./leaderTerm.js";
import type { TermMessage } from "./termMessage.js";

/** Interval between two ticks, which start all periodic work of the term. */
const TICK_MS = 250;

/** The messages of a leader's mailbox. Messages of a term that is over are dropped. */
export type LeaderMessage =
  /** This controller has become the leader of a term, its lease of that term has changed, or it no longer leads. */
  | { kind: "election"; change: LeadershipChange }
  /** An update from a controller that acknowledges heartbeats, which may be this one. */
  | { kind: "heartbeat server update"; update: HeartbeatServerUpdate }
  | { kind: "delivery finished"; term: number; result: DeliveryResult }
  /** An event from the cloud client, or machine types that were read from the state store. */
  | { kind: "cloud"; event: CloudEvent }
  /** A message from a component of the given term. */
  | { kind: "term"; term: number; message: TermMessage }
  | { kind: "tick" };

/**
 * Holds the term while this controller leads one and forwards messages to it. The actor outlives its terms and keeps the
 * known machine types from one term to the next.
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
    this.post({ kind: "tick" });
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  protected override handleError(message: LeaderMessage, error: unknown): void {
    const kind = message.kind === "term" ? message.message.kind : message.kind;
    this.logFailure(kind, error);
  }

  protected override handle(message: LeaderMessage): void {
    switch (message.kind) {
      case "election":
        this.handleLeadershipChange(message.change);
        break;
      case "tick":
        this.tick();
        break;
      case "cloud":
        this.handleCloudEvent(message.event);
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

  private handleLeadershipChange({ lease }: LeadershipChange): void {
    if (lease && this.term?.lease.term === lease.term) {
      this.term.lease.renew(lease);
      return;
    }
    this.term?.lease.end();
    this.term = lease ? this.buildTerm(lease) : null;
    if (!this.term) return;
    this.term.begin();
    this.post({ kind: "tick" });
  }

  private buildTerm(lease: LeadershipLease): LeaderTerm {
    const { term } = lease;
    const components = buildTermComponents(lease, this.options, this.estimates, {
      post: (message) => this.post({ kind: "term", term, message }),
      onStoredMachineTypes: (types) =>
        this.post({ kind: "cloud", event: { kind: "types", types, isStored: true } }),
    });
    return new LeaderTerm(components, this.options);
  }

  private handleCloudEvent(event: CloudEvent): void {
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
    this.term?.applyMachineTypes({ fromCloud, changed });
  }

  private tick(): void {
    if (this.isStopped) return;
    this.timer?.cancel();
    // Without a term there is no periodic work; the next term starts the ticks again.
    if (!this.term) return;
    this.timer = this.options.clock.after(TICK_MS, () => this.post({ kind: "tick" }));
    this.term.tick(this.options.clock.nowMs());
  }
}
