import type { Command, Report } from "../protocol/model.js";
import { decodeReport, DIRECT_PATH, encodeDirect } from "../protocol/workers.js";
import type { HttpCaller } from "../transport/httpClient.js";
import { Actor } from "../transport/mailbox.js";
import { log } from "../transport/log.js";

export interface Errand {
  machine: string;
  address: string;
  token: number;
  session: number;
  commands: Command[];
}

export interface ErrandResult {
  errand: Errand;
  /** Null: no answer, so it may be carried out at any later time. */
  status: number | null;
  report: Report | null;
  neverSent: boolean;
}

type Message = { kind: "send"; errand: Errand } | { kind: "back"; result: ErrandResult };

/** Carries commands straight to workers. One errand at a time to each machine; the newest one waits. */
export class Courier extends Actor<Message> {
  private readonly busy = new Set<string>();

  constructor(
    private readonly http: HttpCaller,
    private readonly timeoutMs: number,
    private readonly onResult: (result: ErrandResult) => void,
  ) {
    super();
  }

  protected override failed(message: Message, error: unknown): void {
    log.error(`courier: ${message.kind}: ${String(error)}`);
  }

  protected override handle(message: Message): void {
    if (message.kind === "back") {
      this.busy.delete(message.result.errand.machine);
      this.onResult(message.result);
      return;
    }
    const { errand } = message;
    if (this.busy.has(errand.machine)) {
      // The sender keeps to one errand a machine; a second one was never sent.
      this.onResult({ errand, status: null, report: null, neverSent: true });
      return;
    }
    this.busy.add(errand.machine);
    this.http
      .call(
        errand.address,
        "POST",
        DIRECT_PATH,
        encodeDirect(errand.token, errand.session, errand.commands),
        this.timeoutMs,
      )
      .then(
        (reply) => {
          this.tell({
            kind: "back",
            result: { errand, status: reply.status, report: decodeReport(reply.body), neverSent: false },
          });
        },
        (error: { neverSent?: boolean }) => {
          this.tell({
            kind: "back",
            result: { errand, status: null, report: null, neverSent: error.neverSent === true },
          });
        },
      );
  }
}
