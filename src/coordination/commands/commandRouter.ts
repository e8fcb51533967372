import type { CommandDelivery, DeliveryResult } from "../../protocol/model.js";
import type { PeerMessage } from "../../protocol/peers/messages.js";
import type { Clock } from "../../transport/clock.js";
import type { CommandSender } from "./commandSender.js";

/** Deliveries that come up together travel together, and so do their results, which nobody waits for. */
const BATCH_DELIVERIES_MS = 5;
const BATCH_RESULTS_MS = 25;
/** Commands in one frame; a stop of a huge job must not make a frame too long. */
const MAX_COMMANDS = 1500;

/**
 * Has deliveries carried by the controller that serves the machine, so that the connections to workers, and what they
 * cost, are spread over all of them. The guards are in the delivery itself (token and session), whoever carries it.
 */
export class CommandRouter {
  private readonly pendingDeliveries = new Map<string, { term: number; deliveries: CommandDelivery[] }>();
  private readonly pendingResults = new Map<string, { term: number; results: DeliveryResult[] }>();

  constructor(
    private readonly node: string,
    private readonly clock: Clock,
    private readonly commandSender: CommandSender,
    private readonly send: (peer: string, message: PeerMessage) => boolean,
    private readonly onResult: (term: number, result: DeliveryResult) => void,
  ) {}

  /** Through that controller, or by ourselves when there is none. */
  deliver(term: number, via: string | null, delivery: CommandDelivery): void {
    if (via === null || via === this.node) {
      this.deliverDirectly(term, delivery);
      return;
    }
    const waiting = this.pendingDeliveries.get(via);
    if (waiting && waiting.term === term) {
      waiting.deliveries.push(delivery);
      return;
    }
    const batch = { term, deliveries: [delivery] };
    this.pendingDeliveries.set(via, batch);
    this.clock.after(BATCH_DELIVERIES_MS, () => {
      if (this.pendingDeliveries.get(via) === batch) this.pendingDeliveries.delete(via);
      for (const deliveries of bySize(batch.deliveries)) {
        if (this.send(via, { kind: "deliveries", from: this.node, term, deliveries })) continue;
        for (const e of deliveries) this.deliverDirectly(term, e);
      }
    });
  }

  private deliverDirectly(term: number, delivery: CommandDelivery): void {
    this.commandSender.tell({ kind: "send", delivery, back: (result) => this.onResult(term, result) });
  }

  /** The leader asks us to carry some. */
  deliverFor(from: string, term: number, deliveries: CommandDelivery[]): void {
    for (const delivery of deliveries) {
      this.commandSender.tell({
        kind: "send",
        delivery,
        back: (result) => this.returnResult(from, term, result),
      });
    }
  }

  private returnResult(to: string, term: number, result: DeliveryResult): void {
    const waiting = this.pendingResults.get(to);
    if (waiting && waiting.term === term && waiting.results.length < 40) {
      waiting.results.push(result);
      return;
    }
    const batch = { term, results: [result] };
    this.pendingResults.set(to, batch);
    this.clock.after(BATCH_RESULTS_MS, () => {
      if (this.pendingResults.get(to) === batch) this.pendingResults.delete(to);
      // A lost result is a delivery without an answer: its sender counts on nothing.
      this.send(to, { kind: "delivery results", from: this.node, term, results: batch.results });
    });
  }
}

function bySize(deliveries: CommandDelivery[]): CommandDelivery[][] {
  const out: CommandDelivery[][] = [];
  let size = 0;
  for (const delivery of deliveries) {
    if (out.length === 0 || size + delivery.commands.length > MAX_COMMANDS) {
      out.push([]);
      size = 0;
    }
    out.at(-1)!.push(delivery);
    size += delivery.commands.length + 1;
  }
  return out;
}
