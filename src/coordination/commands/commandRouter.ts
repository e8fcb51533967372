/** Chooses the controller that sends commands to a machine's worker, and returns the results to the leader. */
import type { CommandDelivery, DeliveryResult } from "../../protocol/model.js";
import type { PeerMessage } from "../../protocol/peers/messages.js";
import type { Clock } from "../../transport/clock.js";
import type { CommandSender } from "./commandSender.js";
import { PeerBatches } from "./peerBatches.js";

/** Delays that collect deliveries, or their results, into shared frames. Results are not urgent and wait longer. */
const DELIVERY_BATCH_DELAY_MS = 5;
const RESULT_BATCH_DELAY_MS = 25;
/** Each result contains a full heartbeat, so a frame holds few of them. */
const MAX_RESULTS_PER_FRAME = 40;
/**
 * Limits the length of a frame, for example when a huge job is stopped. Each delivery counts as one command in addition to
 * those that it contains.
 */
const MAX_COMMANDS_PER_FRAME = 1500;

/**
 * Routes each delivery through the controller that serves the machine, so that the connections to workers and their cost
 * are spread over all controllers. The fencing token and epoch in the delivery protect the worker, whichever controller
 * sends it.
 */
export class CommandRouter {
  private readonly deliveries: PeerBatches<CommandDelivery>;
  private readonly results: PeerBatches<DeliveryResult>;

  constructor(
    private readonly node: string,
    clock: Clock,
    private readonly commandSender: CommandSender,
    /** Sends a message to another controller; returns false if there is no link to it. */
    private readonly send: (peer: string, message: PeerMessage) => boolean,
    /** Called with the result of each delivery that this controller requested. */
    private readonly onResult: (term: number, result: DeliveryResult) => void,
  ) {
    this.deliveries = new PeerBatches({
      clock,
      delayMs: DELIVERY_BATCH_DELAY_MS,
      maxItems: Infinity,
      send: (peer, term, deliveries) => this.sendDeliveries(peer, term, deliveries),
    });
    this.results = new PeerBatches({
      clock,
      delayMs: RESULT_BATCH_DELAY_MS,
      maxItems: MAX_RESULTS_PER_FRAME,
      // The leader times out a delivery whose result is lost, so a failure to send the results is ignored.
      send: (peer, term, results) => this.send(peer, { kind: "delivery results", from: node, term, results }),
    });
  }

  /** Sends a delivery through the controller `via`, or directly to the worker if `via` is null or this controller. */
  deliver(term: number, via: string | null, delivery: CommandDelivery): void {
    if (via === null || via === this.node) this.deliverDirectly(term, delivery);
    else this.deliveries.add(via, term, delivery);
  }

  /** Sends deliveries to workers on behalf of another controller, the leader, and returns the results to it. */
  deliverForLeader(leader: string, term: number, deliveries: CommandDelivery[]): void {
    for (const delivery of deliveries) {
      this.commandSender.post({
        kind: "deliver",
        delivery,
        onResult: (result) => this.results.add(leader, term, result),
      });
    }
  }

  /** Sends a batch of deliveries to another controller, or directly to the workers if there is no link to it. */
  private sendDeliveries(peer: string, term: number, batch: CommandDelivery[]): void {
    for (const deliveries of splitBySize(batch)) {
      if (this.send(peer, { kind: "deliveries", from: this.node, term, deliveries })) continue;
      for (const delivery of deliveries) this.deliverDirectly(term, delivery);
    }
  }

  private deliverDirectly(term: number, delivery: CommandDelivery): void {
    this.commandSender.post({
      kind: "deliver",
      delivery,
      onResult: (result) => this.onResult(term, result),
    });
  }
}

/** Splits the deliveries, in order, into parts that each fit into one frame. */
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
