import type { CommandDelivery, DeliveryResult } from "../../protocol/model.js";
import { decodeHeartbeat, DIRECT_COMMANDS_PATH, encodeDirectCommands } from "../../protocol/workers.js";
import type { HttpCaller } from "../../transport/httpClient.js";
import { Actor } from "../../transport/actor.js";
import { log } from "../../transport/log.js";

type OnResult = (result: DeliveryResult) => void;
type Message =
  | { kind: "send"; delivery: CommandDelivery; back: OnResult }
  | { kind: "back"; result: DeliveryResult; back: OnResult };

/** Carries commands straight to workers. One delivery at a time to each machine. */
export class CommandSender extends Actor<Message> {
  private readonly busy = new Set<string>();

  constructor(
    private readonly http: HttpCaller,
    private readonly timeoutMs: number,
  ) {
    super("command sender");
  }

  protected override failed(message: Message, error: unknown): void {
    log.error(`command sender: ${message.kind}: ${String(error)}`);
  }

  protected override handle(message: Message): void {
    if (message.kind === "back") {
      this.busy.delete(message.result.machine);
      message.back(message.result);
      return;
    }
    const { delivery, back } = message;
    const { machine, fencingToken } = delivery;
    if (this.busy.has(machine)) {
      // The sender keeps to one delivery a machine; a second one was never sent.
      back({ machine, fencingToken: fencingToken, status: null, neverSent: true, heartbeat: null });
      return;
    }
    this.busy.add(machine);
    const body = encodeDirectCommands(fencingToken, delivery.epoch, delivery.commands);
    this.http.call(delivery.address, "POST", DIRECT_COMMANDS_PATH, body, this.timeoutMs).then(
      (reply) => {
        const heartbeat = decodeHeartbeat(reply.body);
        this.tell({
          kind: "back",
          back,
          result: { machine, fencingToken: fencingToken, status: reply.status, neverSent: false, heartbeat },
        });
      },
      (error: { neverSent?: boolean }) => {
        const neverSent = error.neverSent === true;
        this.tell({
          kind: "back",
          back,
          result: { machine, fencingToken: fencingToken, status: null, neverSent, heartbeat: null },
        });
      },
    );
  }
}
