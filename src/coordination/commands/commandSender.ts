/** Sends command deliveries to workers over HTTP. */
import type { CommandDelivery, DeliveryResult } from "../../protocol/model.js";
import { decodeHeartbeat, DIRECT_COMMANDS_PATH, encodeDirectCommands } from "../../protocol/workers.js";
import { Actor } from "../../transport/actor.js";
import { type HttpCaller, NoResponseError } from "../../transport/httpClient.js";

type OnResult = (result: DeliveryResult) => void;

type Message =
  /** Requests that the delivery is sent. `onResult` is called exactly once. */
  | { kind: "deliver"; delivery: CommandDelivery; onResult: OnResult }
  /** Reports the result of a delivery whose HTTP request has completed or failed. */
  | { kind: "finished"; result: DeliveryResult; onResult: OnResult };

/** Owns the requests in flight to workers, and guarantees at most one to each machine. */
export class CommandSender extends Actor<Message> {
  /** Names of the machines with a request in flight. */
  private readonly inFlight = new Set<string>();

  constructor(
    private readonly http: HttpCaller,
    /** Time after which a request without a response fails, in milliseconds. */
    private readonly timeoutMs: number,
  ) {
    super("command sender");
  }

  protected override handle(message: Message): void {
    switch (message.kind) {
      case "deliver":
        this.deliver(message.delivery, message.onResult);
        break;
      case "finished":
        this.inFlight.delete(message.result.machine);
        message.onResult(message.result);
        break;
    }
  }

  private deliver(delivery: CommandDelivery, onResult: OnResult): void {
    const { machine, fencingToken } = delivery;
    if (this.inFlight.has(machine)) {
      // A leader sends one delivery at a time to each machine. A second one, perhaps from another leader, is not sent.
      onResult(withoutResponse(delivery, true));
      return;
    }
    this.inFlight.add(machine);
    const body = encodeDirectCommands(fencingToken, delivery.epoch, delivery.commands);
    this.http.call(delivery.address, "POST", DIRECT_COMMANDS_PATH, body, this.timeoutMs).then(
      (response) => {
        const heartbeat = decodeHeartbeat(response.body);
        const result = { machine, fencingToken, status: response.status, neverSent: false, heartbeat };
        this.post({ kind: "finished", result, onResult });
      },
      (error: unknown) => {
        const neverSent = error instanceof NoResponseError && error.neverSent;
        this.post({ kind: "finished", result: withoutResponse(delivery, neverSent), onResult });
      },
    );
  }
}

function withoutResponse({ machine, fencingToken }: CommandDelivery, neverSent: boolean): DeliveryResult {
  return { machine, fencingToken, status: null, neverSent, heartbeat: null };
}
