/**
 * The users of a simulated region. They submit, query, cancel and resubmit jobs, and retry failed submissions and
 * cancellations. The rule checkers check every response.
 */
import type { ClientResponse } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimControllers } from "./controllers.js";
import type { JobSubmission, SimJob } from "./job.js";
import type { SimNet } from "./net.js";
import { controllerAddress, USER_ADDRESS } from "./region.js";
import type { JobStatusRules } from "./rules/jobStatus.js";
import type { ReportViolation } from "./rules/violations.js";

/** Interval between the status queries for each job. */
export const STATUS_QUERY_INTERVAL_MS = 2500;
/** Delay before a failed request is retried. */
const RETRY_DELAY_MS = 1000;
const REQUEST_TIMEOUT_MS = 5000;
const JOBS_PATH = "/v1/jobs";
/** The lowest HTTP status that means that the request was not decided and may be retried. */
const FIRST_UNDECIDED_STATUS = 429;

/** The HTTP status with which an invalid submission must be rejected. */
export type RefusalStatus = 400 | 422;

/** Dependencies of the simulated users. */
export interface SimUsersOptions {
  clock: SimClock;
  net: SimNet;
  random: () => number;
  controllers: SimControllers;
  /** All jobs, by id; submissions are added to it. */
  jobs: Map<string, SimJob>;
  jobStatusRules: JobStatusRules;
  report: ReportViolation;
}

/** A request to the controller with the given name or, if that is absent, to a random running one. */
interface UserRequest {
  method: "GET" | "POST";
  path: string;
  body?: unknown;
  controller?: string | undefined;
}

type OnReply = (reply: ClientResponse, sentMs: number) => void;

/** Defaults for the fields that a submission does not specify. */
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

/** All users of the region. From its acceptance on, each job's status is queried periodically until the run ends. */
export class SimUsers {
  /** Whether services are cancelled as soon as they are accepted. */
  cancelsNewServices = false;
  /** Number of jobs that faults have submitted so far, from which the next one's id is derived. */
  faultJobCount = 0;

  constructor(private readonly options: SimUsersOptions) {}

  /** All jobs by id, in order of submission. */
  get jobs(): ReadonlyMap<string, SimJob> {
    return this.options.jobs;
  }

  /**
   * Sends a request to `controller` or to a random running one. The promise is rejected if no response arrives in
   * time.
   */
  request(method: string, path: string, body?: unknown, controller?: string): Promise<ClientResponse> {
    const { running, names } = this.options.controllers;
    const name = controller ?? running[Math.floor(this.options.random() * running.length)] ?? names[0]!;
    return this.options.net
      .caller(USER_ADDRESS, () => true)
      .call(controllerAddress(name), method, path, body, REQUEST_TIMEOUT_MS);
  }

  /**
   * Submits a job, retrying until it is accepted or rejected; once it is accepted, queries its status periodically.
   * With a `runTimeS` of null, its tasks run until the job is cancelled.
   */
  submit(fields: Partial<JobSubmission> & { ref: string }, runTimeS: number | null): SimJob {
    const spec: JobSubmission = { ...DEFAULT_SUBMISSION, guessS: runTimeS ?? 0, ...fields };
    const job = newJob(spec, runTimeS, this.options.clock.nowMs());
    this.options.jobs.set(spec.ref, job);
    this.submitUntilAnswered(job);
    return job;
  }

  /** Cancels a job through `controller` or any running one, retrying until the cancellation is confirmed. */
  cancel(job: SimJob, controller?: string): void {
    job.isCancelRequested = true;
    this.cancelUntilConfirmed(job, controller);
  }

  /** Cancels all jobs that run until they are cancelled. */
  cancelServices(): void {
    for (const job of this.jobs.values()) {
      if (job.runTimeS === null && job.isAccepted && !job.isCancelRequested) this.cancel(job);
    }
  }

  /** Resubmits the job unchanged. The response must report the job's current phase, not a new job (`forgotten`). */
  resubmit(job: SimJob): void {
    const { report, jobStatusRules } = this.options;
    this.send({ method: "POST", path: JOBS_PATH, body: job.spec }, (reply, sentMs) => {
      if (isRefusal(reply)) report("forgotten", `${job.spec.ref}: ${reply.status}`);
      if (reply.status === 201) jobStatusRules.onAcceptanceDenied(job, "accepted anew");
      if (reply.status === 200) this.onPhase(job, reply, sentMs);
    });
  }

  /** Queries the job's status once, in addition to the periodic queries. */
  queryStatus(job: SimJob): void {
    this.send({ method: "GET", path: pathOf(job) }, (reply, sentMs) => {
      if (reply.status === 404) this.options.jobStatusRules.onAcceptanceDenied(job, "not found");
      if (reply.status === 200) this.onPhase(job, reply, sentMs);
    });
  }

  /**
   * `accepted_invalid`: an invalid submission is rejected with the given status, unless the request was not decided.
   */
  submitInvalid(status: RefusalStatus, body: unknown): void {
    this.send({ method: "POST", path: JOBS_PATH, body }, (reply) => {
      if (reply.status === status || reply.status >= FIRST_UNDECIDED_STATUS) return;
      const detail = `${reply.status} instead of ${status} for ${JSON.stringify(body)}`;
      this.options.report("accepted_invalid", detail);
    });
  }

  /** Returns the ids of the accepted jobs for which no final phase was reported. */
  unfinishedJobIds(): string[] {
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
        else if (isRefusal(reply)) this.options.jobStatusRules.onAcceptanceDenied(job, reply.status);
        else retry();
      },
      retry,
    );
  }

  private onAccepted(job: SimJob, reply: ClientResponse, sentMs: number): void {
    job.isAccepted = true;
    this.onPhase(job, reply, sentMs);
    this.scheduleStatusQuery(job);
    if (this.cancelsNewServices && job.spec.form === "standing") this.cancel(job);
  }

  private cancelUntilConfirmed(job: SimJob, controller?: string): void {
    const retry = (): void => this.retryLater(() => this.cancelUntilConfirmed(job, controller));
    this.send(
      { method: "POST", path: `${pathOf(job)}/cancel`, controller },
      (reply, sentMs) => {
        if (reply.status === 200) this.onPhase(job, reply, sentMs);
        else retry();
      },
      retry,
    );
  }

  private scheduleStatusQuery(job: SimJob): void {
    const queryAgain = (): void => {
      this.options.jobStatusRules.checkAnswered(job);
      this.scheduleStatusQuery(job);
    };
    this.options.clock.after(STATUS_QUERY_INTERVAL_MS, () =>
      this.send(
        { method: "GET", path: pathOf(job) },
        (reply, sentMs) => {
          if (reply.status === 404) this.options.jobStatusRules.onAcceptanceDenied(job, "not found");
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
    this.options.clock.after(RETRY_DELAY_MS, run);
  }

  private send(request: UserRequest, onReply: OnReply, onFailure: () => void = () => undefined): void {
    const sentMs = this.options.clock.nowMs();
    const { method, path, body, controller } = request;
    this.request(method, path, body, controller).then((reply) => onReply(reply, sentMs), onFailure);
  }
}

function newJob(spec: JobSubmission, runTimeS: number | null, nowMs: number): SimJob {
  return {
    spec,
    runTimeS,
    runTimeStepS: 0,
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
