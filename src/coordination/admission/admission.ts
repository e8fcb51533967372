/**
 * Answers users' requests, at any controller. What is said is durable first (rules `forgotten`, `went_back`, `invented`):
 * "accepted" and "cancelled" are committed before they are said; "not yet over" and "no such job" come from a fresh read.
 */
import type { LiveJobCache } from "../../bookkeeping/liveJobCache.js";
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { MachineType } from "../../protocol/model.js";
import type { TaskCounts } from "../../protocol/peers/messages.js";
import type { Team } from "../../settings/platform.js";
import { Actor } from "../../transport/actor.js";
import type { Clock } from "../../transport/clock.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import { describeException, log } from "../../transport/log.js";
import { Cancellation } from "./cancellation.js";
import { FinalRecordCache } from "./finalRecordCache.js";
import { JobLookup } from "./jobLookup.js";
import { JobPhases } from "./jobPhases.js";
import { StatusQuery } from "./statusQuery.js";
import { Submission } from "./submission.js";
import { TaskCountTable } from "./taskCountTable.js";
import { internalError } from "./userResponses.js";

type Reply = (response: ServerResponse) => void;

type AdmissionMessage =
  | { kind: "submit"; value: unknown; reply: Reply }
  | { kind: "show"; id: string; reply: Reply }
  | { kind: "cancel"; id: string; reply: Reply }
  /** The cloud's machine types, whenever they change. */
  | { kind: "types"; types: MachineType[] }
  /** From the leader, for display only. */
  | { kind: "task counts"; jobs: TaskCounts[] };

/** What admission uses of its controller. */
export interface AdmissionOptions {
  stateStore: StateStoreClient;
  liveJobs: LiveJobCache;
  clock: Clock;
  teams: Team[];
  /** The longest value that the state store takes. */
  valueBytes: number;
  /** Called before a user is told that a job is cancelled whose tasks may still be somewhere (rule `ran_cancelled`). */
  onCancellationConfirmed: (id: string, cancelledAt: Date) => void;
}

/** The actor that users' requests go to. Each is answered exactly once. */
export class Admission extends Actor<AdmissionMessage> {
  private readonly taskCounts = new TaskCountTable();
  private readonly submission: Submission;
  private readonly cancellation: Cancellation;
  private readonly statusQuery: StatusQuery;

  constructor(options: AdmissionOptions) {
    super("admission");
    const { taskCounts } = this;
    const finalRecords = new FinalRecordCache();
    const phases = new JobPhases(taskCounts, options.onCancellationConfirmed);
    const lookup = new JobLookup({
      stateStore: options.stateStore,
      liveJobs: options.liveJobs,
      finalRecords,
      onFinal: (id) => taskCounts.delete(id),
    });
    this.submission = new Submission({ ...options, finalRecords, lookup, phases });
    this.cancellation = new Cancellation({ ...options, lookup, phases });
    this.statusQuery = new StatusQuery({ clock: options.clock, lookup, phases, taskCounts });
  }

  protected override failed(message: AdmissionMessage, error: unknown): void {
    super.failed(message, error);
    if ("reply" in message) message.reply(internalError);
  }

  protected override handle(message: AdmissionMessage): void {
    switch (message.kind) {
      case "types":
        this.submission.setTypes(message.types);
        break;
      case "task counts":
        this.taskCounts.update(message.jobs);
        break;
      case "submit":
        this.respond(this.submission.submit(message.value), message.reply);
        break;
      case "show":
        this.respond(this.statusQuery.show(message.id), message.reply);
        break;
      case "cancel":
        this.respond(this.cancellation.cancel(message.id), message.reply);
        break;
    }
  }

  private respond(work: Promise<ServerResponse>, reply: Reply): void {
    work.then(reply, (error: unknown) => {
      log.error(`admission: ${describeException(error)}`);
      reply(internalError);
    });
  }
}
