/**
 * The users of a simulated region: they submit jobs, query their status, cancel and resubmit them, and repeat what was
 * not answered. Every response goes to the checkers of the rules.
 */
import type { ClientResponse } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimControllers } from "./controllers.js";
import type { JobSubmission, SimJob } from "./job.js";
import type { SimNet } from "./net.js";
import { controllerAddress, USER_ADDRESS } from "./region.js";
import type { JobStatusRules } from "./rules/jobStatus.js";
import type { ReportViolation } from "./rules/violations.js";

/** Users query the status of each job this often. */
export const QUERY_EVERY_MS = 2500;
/** A request that failed is repeated this much later. */
const RETRY_MS = 1000;
const REQUEST_TIMEOUT_MS = 5000;
const JOBS_PATH = "/v1/jobs";
/** From this status on, a response says that the request can't be decided at the moment. */
const FIRST_UNDECIDED_STATUS = 429;

/** A submission that must be refused with that status. */
export type RefusalStatus = 400 | 422;

/** What the users need from their world. */
export interface SimUsersOptions {
  clock: SimClock;
  net: SimNet;
  random: () => number;
  controllers: SimControllers;
  /** All jobs; users add theirs. */
  jobs: Map<string, SimJob>;
  jobStatusRules: JobStatusRules;
  report: ReportViolation;
}

/** A request to any controller or, with `at`, to that one. */
interface UserRequest {
  method: "GET" | "POST";
  path: string;
  body?: unknown;
  at?: string | undefined;
}

type OnReply = (reply: ClientResponse, sentMs: number) => void;

/** What a submission leaves out. */
const DEFAULT_SUBMISSION: Omit<JobSubmission, "ref" | "guessS"> = {
  strain: "s",
  crew: "one",
  form: "array",
  rank: "standard",
  spores: 1,
  cores: 2,
  gpus: 0,
  memoryGb: 4,
  seedstock: "img",
  pullGb: 1,
  together: false,
  scatter: false,
  windfall: true,
  cairnS: 0,
  stashS: 0,
};

/** All users together; each job has one that queries it for ever. */
export class SimUsers {
  /** Services that are accepted from now on are cancelled at once. */
  cancelsNewServices = false;
  /** Jobs that faults have submitted so far; it numbers the next one. */
  faultJobCount = 0;

  constructor(private readonly options: SimUsersOptions) {}

  /** By id, in order of submission. */
  get jobs(): ReadonlyMap<string, SimJob> {
    return this.options.jobs;
  }

  /** Sends a request to that controller, or to one that runs; rejects when none answers in time. */
  request(method: string, path: string, body?: unknown, at?: string): Promise<ClientResponse> {
    const { running, names } = this.options.controllers;
    const name = at ?? running[Math.floor(this.options.random() * running.length)] ?? names[0]!;
    return this.options.net
      .caller(USER_ADDRESS, () => true)
      .call(controllerAddress(name), method, path, body, REQUEST_TIMEOUT_MS);
  }

  /** Submits a job until it is accepted or refused, then queries its status for ever. `runS` null: it never ends. */
  submit(fields: Partial<JobSubmission> & { ref: string }, runS: number | null): SimJob {
    const spec: JobSubmission = { ...DEFAULT_SUBMISSION, guessS: runS ?? 0, ...fields };
    const job = newJob(spec, runS, this.options.clock.nowMs());
    this.options.jobs.set(spec.ref, job);
    this.submitUntilAnswered(job);
    return job;
  }

  /** Cancels a job, through that controller or any, until the cancellation is confirmed. */
  cancel(job: SimJob, at?: string): void {
    job.isCancelRequested = true;
    this.cancelUntilConfirmed(job, at);
  }

  /** Cancels what would run for ever. */
  cancelServices(): void {
    for (const job of this.jobs.values()) {
      if (job.runS === null && job.isAccepted && !job.isCancelRequested) this.cancel(job);
    }
  }

  /** Submits the job again as it was: whatever became of it, the response must say so (`forgotten`). */
  resubmit(job: SimJob): void {
    const { report, jobStatusRules } = this.options;
    this.send({ method: "POST", path: JOBS_PATH, body: job.spec }, (reply, sentMs) => {
      if (isRefusal(reply)) report("forgotten", `${job.spec.ref}: ${reply.status}`);
      if (reply.status === 201) jobStatusRules.onDenied(job, "accepted anew");
      if (reply.status === 200) this.onPhase(job, reply, sentMs);
    });
  }

  /** Queries the job's status once, besides the periodic queries. */
  queryStatus(job: SimJob): void {
    this.send({ method: "GET", path: pathOf(job) }, (reply, sentMs) => {
      if (reply.status === 404) this.options.jobStatusRules.onDenied(job, "not found");
      if (reply.status === 200) this.onPhase(job, reply, sentMs);
    });
  }

  /** `accepted_invalid`: what can't be accepted is refused with that status, unless no controller can decide now. */
  submitInvalid(status: RefusalStatus, body: unknown): void {
    this.send({ method: "POST", path: JOBS_PATH, body }, (reply) => {
      if (reply.status === status || reply.status >= FIRST_UNDECIDED_STATUS) return;
      const detail = `${reply.status} instead of ${status} for ${JSON.stringify(body)}`;
      this.options.report("accepted_invalid", detail);
    });
  }

  /** Ids of the accepted jobs whose users know no final phase. */
  unfinishedJobs(): string[] {
    return [...this.jobs.values()]
      .filter((job) => job.isAccepted && job.finalPhase === null)
      .map((job) => job.spec.ref);
  }

  private submitUntilAnswered(job: SimJob): void {
    const retry = (): void => this.retryLater(() => this.submitUntilAnswered(job));
    const request: UserRequest = { method: "POST", path: JOBS_PATH, body: job.spec };
    this.send(
      request,
      (reply, sentMs) => {
        if (reply.status === 201 || reply.status === 200) this.onAccepted(job, reply, sentMs);
        else if (isRefusal(reply)) this.options.jobStatusRules.onDenied(job, reply.status);
        else retry();
      },
      retry,
    );
  }

  private onAccepted(job: SimJob, reply: ClientResponse, sentMs: number): void {
    job.isAccepted = true;
    this.onPhase(job, reply, sentMs);
    this.queryLater(job);
    if (this.cancelsNewServices && job.spec.form === "standing") this.cancel(job);
  }

  private cancelUntilConfirmed(job: SimJob, at?: string): void {
    const retry = (): void => this.retryLater(() => this.cancelUntilConfirmed(job, at));
    this.send(
      { method: "POST", path: `${pathOf(job)}/cancel`, at },
      (reply, sentMs) => {
        if (reply.status === 200) this.onPhase(job, reply, sentMs);
        else retry();
      },
      retry,
    );
  }

  private queryLater(job: SimJob): void {
    const queryAgain = (): void => {
      this.options.jobStatusRules.checkAnswered(job);
      this.queryLater(job);
    };
    this.options.clock.after(QUERY_EVERY_MS, () =>
      this.send(
        { method: "GET", path: pathOf(job) },
        (reply, sentMs) => {
          if (reply.status === 404) this.options.jobStatusRules.onDenied(job, "not found");
          if (reply.status === 200) {
            job.lastResponseAtMs = this.options.clock.nowMs();
            this.onPhase(job, reply, sentMs);
          }
          queryAgain();
        },
        queryAgain,
      ),
    );
  }

  private onPhase(job: SimJob, reply: ClientResponse, sentMs: number): void {
    const { phase } = reply.body as { phase: string };
    this.options.jobStatusRules.onPhase(job, phase, sentMs);
  }

  private retryLater(run: () => void): void {
    this.options.clock.after(RETRY_MS, run);
  }

  private send(request: UserRequest, onReply: OnReply, onFailure: () => void = () => undefined): void {
    const sentMs = this.options.clock.nowMs();
    const { method, path, body, at } = request;
    this.request(method, path, body, at).then((reply) => onReply(reply, sentMs), onFailure);
  }
}

function newJob(spec: JobSubmission, runS: number | null, nowMs: number): SimJob {
  return {
    spec,
    runS,
    runStepS: 0,
    submittedAtMs: nowMs,
    isAccepted: false,
    finalPhase: null,
    finalPhaseAtMs: Infinity,
    isCancelRequested: false,
    doneTasks: new Set(),
    lastResponseAtMs: nowMs,
    firstStartAtMs: null,
    waitingSinceMs: null,
  };
}

function pathOf(job: SimJob): string {
  return `${JOBS_PATH}/${job.spec.ref}`;
}

function isRefusal({ status }: ClientResponse): boolean {
  return status === 400 || status === 422;
}
