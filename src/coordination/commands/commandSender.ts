/** Sends deliveries of commands to workers over HTTP. */
import type { CommandDelivery, DeliveryResult } from "../../protocol/model.js";
import { decodeHeartbeat, DIRECT_COMMANDS_PATH, encodeDirectCommands } from "../../protocol/workers.js";
import { Actor } from "../../transport/actor.js";
import { type HttpCaller, NoResponseError } from "../../transport/httpClient.js";
import { log } from "../../transport/log.js";

type OnResult = (result: DeliveryResult) => void;

type Message =
  /** Send the delivery; `onResult` is called exactly once. */
  | { kind: "deliver"; delivery: CommandDelivery; onResult: OnResult }
  /** The HTTP request of a delivery has ended. */
  | { kind: "finished"; result: DeliveryResult; onResult: OnResult };

/** Owns the requests to workers that are under way: at most one to each machine. */
export class CommandSender extends Actor<Message> {
  /** Machines with a request under way. */
  private readonly busy = new Set<string>();

  constructor(
    private readonly http: HttpCaller,
    /** A request without a response is given up after this. */
    private readonly timeoutMs: number,
  ) {
    super("command sender");
  }

  protected override failed(message: Message, error: unknown): void {
    log.error(`command sender: ${message.kind}: ${String(error)}`);
  }

  protected override handle(message: Message): void {
    switch (message.kind) {
      case "deliver":
        this.deliver(message.delivery, message.onResult);
        break;
      case "finished":
        this.busy.delete(message.result.machine);
        message.onResult(message.result);
        break;
    }
  }

  private deliver(delivery: CommandDelivery, onResult: OnResult): void {
    const { machine, fencingToken } = delivery;
    if (this.busy.has(machine)) {
      // The leader keeps to one delivery for each machine; a second one, of another leader perhaps, is not sent.
      onResult(withoutResponse(delivery, true));
      return;
    }
    this.busy.add(machine);
    const body = encodeDirectCommands(fencingToken, delivery.epoch, delivery.commands);
    this.http.call(delivery.address, "POST", DIRECT_COMMANDS_PATH, body, this.timeoutMs).then(
      (response) => {
        const heartbeat = decodeHeartbeat(response.body);
        const result = { machine, fencingToken, status: response.status, neverSent: false, heartbeat };
        this.tell({ kind: "finished", result, onResult });
      },
      (error: unknown) => {
        const neverSent = error instanceof NoResponseError && error.neverSent;
        this.tell({ kind: "finished", result: withoutResponse(delivery, neverSent), onResult });
      },
    );
  }
}

function withoutResponse({ machine, fencingToken }: CommandDelivery, neverSent: boolean): DeliveryResult {
  return { machine, fencingToken, status: null, neverSent, heartbeat: null };
}
