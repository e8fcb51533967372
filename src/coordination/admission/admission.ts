/**
 * The admission actor answers users' requests on every controller, leader or follower. An acceptance or a cancellation is
 * committed to the state store before it is confirmed to the user, and "live" or "no such job" is answered only from a
 * read that began after the request came in (rules `forgotten`, `went_back`, `invented`).
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
import { internalErrorResponse } from "./userResponses.js";

type Reply = (response: ServerResponse) => void;

type AdmissionMessage =
  | { kind: "submit"; value: unknown; reply: Reply }
  | { kind: "show"; id: string; reply: Reply }
  | { kind: "cancel"; id: string; reply: Reply }
  /** The cloud's machine types; sent again whenever they change. */
  | { kind: "types"; types: MachineType[] }
  /** Task counts that the leader publishes, for display only. */
  | { kind: "task counts"; jobs: TaskCounts[] };

/** Dependencies and settings of the admission actor. */
export interface AdmissionOptions {
  stateStore: StateStoreClient;
  liveJobs: LiveJobCache;
  clock: Clock;
  teams: Team[];
  /** Maximum size of a value in the state store, in bytes. */
  maxValueBytes: number;
  /** Called before a response reports a live job, whose tasks may still run, as cancelled (rule `ran_cancelled`). */
  onCancellationConfirmed: (id: string, cancelledAt: Date) => void;
}

/** Receives users' requests and answers each exactly once, also when its handling throws. */
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
      onFinalRecordRead: (id) => taskCounts.delete(id),
    });
    this.submission = new Submission({ ...options, finalRecords, lookup, phases });
    this.cancellation = new Cancellation({ ...options, lookup, phases });
    this.statusQuery = new StatusQuery({ clock: options.clock, lookup, phases, taskCounts });
  }

  protected override handleError(message: AdmissionMessage, error: unknown): void {
    super.handleError(message, error);
    if ("reply" in message) message.reply(internalErrorResponse);
  }

  protected override handle(message: AdmissionMessage): void {
    switch (message.kind) {
      case "types":
        this.submission.setMachineTypes(message.types);
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

  private respond(pendingResponse: Promise<ServerResponse>, reply: Reply): void {
    pendingResponse.then(reply, (error: unknown) => {
      log.error(`admission: user request failed: ${describeException(error)}`);
      reply(internalErrorResponse);
    });
  }
}
