/** Chooses who carries commands to a machine's worker, and returns what became of them to the leader. */
import type { CommandDelivery, DeliveryResult } from "../../protocol/model.js";
import type { PeerMessage } from "../../protocol/peers/messages.js";
import type { Clock } from "../../transport/clock.js";
import type { CommandSender } from "./commandSender.js";
import { PeerBatches } from "./peerBatches.js";

/** Deliveries that come up together share a frame, and so do their results, for which nobody waits. */
const BATCH_DELIVERIES_MS = 5;
const BATCH_RESULTS_MS = 25;
/** Results in one frame: each holds a heartbeat in full. */
const MAX_RESULTS_PER_FRAME = 40;
/** Commands in one frame: the stops of a huge job must not make it too long. A delivery itself counts as one more. */
const MAX_COMMANDS_PER_FRAME = 1500;

/**
 * Has deliveries carried by the controller that serves the machine, so that the connections to workers, and what they
 * cost, are spread over all controllers. What protects the worker is in the delivery itself (fencing token and epoch),
 * whoever carries it.
 */
export class CommandRouter {
  private readonly deliveries: PeerBatches<CommandDelivery>;
  private readonly results: PeerBatches<DeliveryResult>;

  constructor(
    private readonly node: string,
    clock: Clock,
    private readonly commandSender: CommandSender,
    /** False: no link to that controller. */
    private readonly send: (peer: string, message: PeerMessage) => boolean,
    /** A delivery that was requested here is finished. */
    private readonly onResult: (term: number, result: DeliveryResult) => void,
  ) {
    this.deliveries = new PeerBatches({
      clock,
      delayMs: BATCH_DELIVERIES_MS,
      maxItems: Infinity,
      send: (peer, term, deliveries) => this.sendDeliveries(peer, term, deliveries),
    });
    this.results = new PeerBatches({
      clock,
      delayMs: BATCH_RESULTS_MS,
      maxItems: MAX_RESULTS_PER_FRAME,
      // A lost result is a delivery without a response: the leader gives it up after a while.
      send: (peer, term, results) => this.send(peer, { kind: "delivery results", from: node, term, results }),
    });
  }

  /** Has commands carried by the controller `via`, or from here when it is null. */
  deliver(term: number, via: string | null, delivery: CommandDelivery): void {
    if (via === null || via === this.node) this.deliverDirectly(term, delivery);
    else this.deliveries.add(via, term, delivery);
  }

  /** Carries commands for the leader `from`, and returns the results to it. */
  deliverFor(from: string, term: number, deliveries: CommandDelivery[]): void {
    for (const delivery of deliveries) {
      this.commandSender.tell({
        kind: "deliver",
        delivery,
        onResult: (result) => this.results.add(from, term, result),
      });
    }
  }

  /** Without a link to the controller, the deliveries go from here. */
  private sendDeliveries(peer: string, term: number, batch: CommandDelivery[]): void {
    for (const deliveries of splitBySize(batch)) {
      if (this.send(peer, { kind: "deliveries", from: this.node, term, deliveries })) continue;
      for (const delivery of deliveries) this.deliverDirectly(term, delivery);
    }
  }

  private deliverDirectly(term: number, delivery: CommandDelivery): void {
    this.commandSender.tell({
      kind: "deliver",
      delivery,
      onResult: (result) => this.onResult(term, result),
    });
  }
}

/** In their order, in parts that each fit into a frame. */
function splitBySize(deliveries: CommandDelivery[]): CommandDelivery[][] {
  const parts: CommandDelivery[][] = [];
  let size = 0;
  for (const delivery of deliveries) {
    if (parts.length === 0 || size + delivery.commands.length > MAX_COMMANDS_PER_FRAME) {
      parts.push([]);
      size = 0;
    }
    parts.at(-1)!.push(delivery);
    size += delivery.commands.length + 1;
  }
  return parts;
}
