/**
 * The leader's in-memory model of jobs, attempts and machines during one term. The types refer to one another, so they
 * share a module. Attempts are added and removed through the term's `Attempts`, which keeps job and machine consistent.
 */
import type { JobSpec, MachineType, TaskPhase, TaskStatus } from "../protocol/model.js";
import { FencedWorker } from "./fencedWorker.js";
import { ImageCache } from "./imageCache.js";
import { PendingTasks } from "./pendingTasks.js";
import { TASKS_PER_CHUNK, type ChunkRecord, type JobHead } from "./records.js";
import type { Resources } from "./resources.js";
import type { StopRequest } from "./stopRequest.js";
import { TaskChunk } from "./taskChunk.js";

/**
 * One execution of a task, from its planning until it is confirmed gone: known neither to run nor to be able to start.
 * It holds resources and quota for that whole time.
 */
export interface Attempt {
  job: Job;
  task: number;
  /** Attempt number, unique across all terms. */
  number: number;
  machine: Machine;
  /** Whether the state store is known to hold the attempt; no start command may be sent before that. */
  isDurable: boolean;
  /** Whether the attempt was loaded when the term began; an earlier leader may have sent its start command. */
  isInherited: boolean;
  /** Highest fencing token of a start command for the attempt; -1 if this leader has sent none. */
  sentToken: number;
  /** Worker epoch that the last start command named. */
  sentEpoch: number;
  /** Monotonic time when the start command was last sent, in milliseconds; -Infinity if it is to be sent at once. */
  sentMs: number;
  /** Phase reported by the worker's newest heartbeat; null if no heartbeat has listed the attempt. */
  phase: Exclude<TaskPhase, "exited"> | null;
  /** Monotonic time of the planning, or of the loading of an inherited attempt, in milliseconds. */
  plannedMs: number;
  /** Monotonic time when the attempt was first seen running, in milliseconds; null before that. */
  runningMs: number | null;
  /** The pending stop request, or null if the attempt is not being stopped. */
  stop: StopRequest | null;
}

/** Consecutive tasks of a job that are stored in one record. */
export type Chunk = TaskChunk<Attempt>;

/** The leader's view of a live job. Its memory use does not grow with the number of tasks that were never started. */
export class Job {
  /** Chunks by their index; a chunk exists once one of its tasks has been started. */
  readonly chunks = new Map<number, Chunk>();
  readonly attempts = new Set<Attempt>();
  private readonly pendingTasks: PendingTasks;
  private readonly mayStart = (task: number): boolean => !this.isDone(task) && !this.attemptOf(task);
  doneCount = 0;
  /** Monotonic time until which no task of the job is started after failures, in milliseconds. */
  backOffUntilMs = 0;
  /** Number of attempts that exited with an error. */
  failureCount = 0;
  /** Names of the machines on which a task of the job has failed. */
  readonly failedMachineNames = new Set<string>();
  /** Monotonic time until which the job avoids a machine, in milliseconds, by machine name. */
  readonly avoidedUntilMs = new Map<string, number>();

  constructor(
    readonly spec: JobSpec,
    readonly acceptedAt: Date,
    /** Version of the head's key. */
    public headVersion: number,
    /** Wall-clock time of the cancellation; null if the job is not cancelled. */
    public cancelledAt: Date | null,
    /** Monotonic time of the submission in milliseconds, estimated from the wall-clock time of the acceptance. */
    readonly submittedMs: number,
  ) {
    this.pendingTasks = new PendingTasks(spec.tasks);
  }

  static fromHead(head: JobHead, version: number, submittedMs: number): Job {
    return new Job(head.spec, head.acceptedAt, version, head.cancelledAt, submittedMs);
  }

  get isCancelled(): boolean {
    return this.cancelledAt !== null;
  }

  get id(): string {
    return this.spec.id;
  }

  /** The chunk that holds the task; it is created if it does not exist. */
  getOrCreateChunk(task: number): Chunk {
    const index = TaskChunk.indexOf(task);
    let chunk = this.chunks.get(index);
    if (!chunk) {
      chunk = new TaskChunk(index);
      this.chunks.set(index, chunk);
    }
    return chunk;
  }

  isDone(task: number): boolean {
    return this.chunks.get(TaskChunk.indexOf(task))?.isDone(task) ?? false;
  }

  /** Whether the task is done and the state store is known to hold that result. */
  isDurablyDone(task: number): boolean {
    return this.chunks.get(TaskChunk.indexOf(task))?.isDurablyDone(task) ?? false;
  }

  attemptOf(task: number): Attempt | undefined {
    return this.chunks.get(TaskChunk.indexOf(task))?.attempts.get(task);
  }

  /** Marks the task as done; returns false if it was done already or does not exist. */
  markDone(task: number): boolean {
    if (task < 0 || task >= this.spec.tasks || this.isDone(task)) return false;
    this.getOrCreateChunk(task).markDone(task);
    this.doneCount++;
    return true;
  }

  get isComplete(): boolean {
    return this.doneCount >= this.spec.tasks;
  }

  /** Whether the job is finished and has no attempts left, so that its final record may be written. */
  get canFinalize(): boolean {
    // The last members of a gang may still hold resources and quota when its result is known, so the job waits for them.
    return this.attempts.size === 0 && (this.isCancelled || this.isComplete);
  }

  /** Adds an attempt; throws if the task already has one. */
  attach(attempt: Attempt): void {
    const chunk = this.getOrCreateChunk(attempt.task);
    if (chunk.attempts.has(attempt.task))
      throw new Error(`task ${this.id}/${attempt.task} already has an attempt`);
    chunk.attempts.set(attempt.task, attempt);
    this.attempts.add(attempt);
  }

  /** Removes an attempt that is confirmed gone, and marks its chunk for rewriting. */
  detach(attempt: Attempt): void {
    const chunk = this.getOrCreateChunk(attempt.task);
    if (chunk.attempts.get(attempt.task) === attempt) chunk.attempts.delete(attempt.task);
    this.attempts.delete(attempt);
    chunk.isDirty = true;
  }

  /** Queues the task to run again unless it is done. */
  requeue(task: number): void {
    if (!this.isDone(task)) this.pendingTasks.requeue(task);
  }

  /** Number of tasks that are neither done nor have an attempt; 0 if the job is cancelled. */
  get pendingCount(): number {
    if (this.isCancelled) return 0;
    return this.spec.tasks - this.doneCount - this.attempts.size;
  }

  /** Takes the next task that is neither done nor has an attempt; null if there is none. */
  takePendingTask(): number | null {
    return this.pendingTasks.take(this.mayStart);
  }

  /** Applies the results in a chunk's record, read at `version`; the attempts in the record are added separately. */
  loadChunk(index: number, record: ChunkRecord, version: number): void {
    this.doneCount += this.getOrCreateChunk(index * TASKS_PER_CHUNK).load(record.done, version);
  }

  /** Number of attempts that run or save their state according to their workers' newest heartbeats. */
  runningCount(): number {
    if (this.attempts.size === 0) return 0;
    let running = 0;
    for (const { phase } of this.attempts) if (phase === "running" || phase === "saving") running++;
    return running;
  }
}

/** The leader's view of a machine and the worker on it. Fields in `Ms` are monotonic times in milliseconds. */
export class Machine extends FencedWorker {
  /**
   * `booting`: the machine is requested, and its worker has not sent this leader a heartbeat. `up`: the worker has sent
   * one. `leaving`: the cloud has been asked to delete the machine.
   */
  state: "booting" | "up" | "leaving" = "booting";
  /** Whether a worker or the cloud has named the machine in this term, and not only a record. */
  isNameConfirmed = false;
  /** The machine's type; null while it is not known. */
  type: MachineType | null = null;
  /** Whether the machine is a spot instance; false while that is not known. */
  spot = false;
  /** The worker's network address; empty while it is not known. */
  address = "";
  /** The worker's epoch in the newest heartbeat whose task list was applied. */
  epoch = 0;
  /** The worker's tick in the newest heartbeat whose task list was applied. */
  tick = 0;
  /** Name of the controller that acknowledges the worker's heartbeats; null while it is not known. */
  heartbeatServer: string | null = null;
  /** Epoch of the worker's newest heartbeat. */
  heartbeatEpoch = 0;
  /** Tick of the worker's newest heartbeat; command responses also advance the tick but do not count here. */
  heartbeatTick = 0;
  /** When a delivery was last sent to the worker; one without commands probes whether the worker is reachable. */
  lastProbeMs = -Infinity;
  /** When this leader last learned of an acknowledged heartbeat or a new epoch; the worker's lease began no later. */
  lastAcknowledgedMs = -Infinity;
  /** When a heartbeat or a command response was last received from the worker. */
  lastContactMs: number;
  /** When a controller last acknowledged one of the worker's heartbeats; command responses do not renew the lease. */
  lastHeartbeatMs = -Infinity;
  /** When the cloud will interrupt the spot instance; null if there is no interruption notice. */
  interruptionAtMs: number | null = null;
  /** Whether the interruption notice has yet to be acted on. */
  hasNewInterruptionNotice = false;
  /** Whether the machine gets no new work because it is faulty or about to be scaled in. */
  isCordoned = false;
  /** Reason for the cordon, for the log. */
  cordonReason = "";
  /** When the cordon ends; Infinity if it has no end. */
  cordonUntilMs = Infinity;
  /** When the machine became idle; null while it has attempts. */
  idleSinceMs: number | null;
  /** Whether the cloud lists the machine as running: it has booted, possibly during an earlier leader's term. */
  isListedAsRunning = false;
  readonly attempts = new Set<Attempt>();
  /** Number of changes to the machine's free resources, images and stop requests. */
  revision = 0;
  /** Tasks listed in the newest heartbeat. */
  reportedTasks: TaskStatus[] = [];
  /** Model of the worker's image cache. */
  readonly images = new ImageCache();
  /** Resources held by the machine's attempts. */
  readonly used: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };
  /** Number of attempts that exited with an error since a task last succeeded on the machine, by job id. */
  consecutiveFailures = new Map<string, number>();

  constructor(
    readonly name: string,
    public zone: string,
    firstTokenOfTerm: number,
    public createdMs: number,
  ) {
    super(firstTokenOfTerm);
    this.lastContactMs = createdMs;
    this.idleSinceMs = createdMs;
  }

  /** Adds an attempt, which holds resources of the machine from now on. */
  attach(attempt: Attempt): void {
    this.revision++;
    this.attempts.add(attempt);
    const spec = attempt.job.spec;
    this.used.cpus += spec.cpus;
    this.used.gpus += spec.gpus;
    this.used.memoryGb += spec.memoryGb;
    this.idleSinceMs = null;
    this.useImage(spec);
  }

  /** Removes an attempt that is confirmed gone, and frees its resources. */
  detach(attempt: Attempt, nowMs: number): void {
    if (!this.attempts.delete(attempt)) return;
    this.revision++;
    const spec = attempt.job.spec;
    this.used.cpus -= spec.cpus;
    this.used.gpus -= spec.gpus;
    this.used.memoryGb -= spec.memoryGb;
    if (this.attempts.size === 0) {
      // Resets the sums to exactly zero so that rounding errors do not accumulate.
      this.used.cpus = this.used.gpus = this.used.memoryGb = 0;
      this.idleSinceMs = nowMs;
    }
  }

  private useImage({ image, imageGb }: JobSpec): void {
    const isInUse = (other: string): boolean =>
      [...this.attempts].some((attempt) => attempt.job.spec.image === other);
    this.images.recordUse(image, imageGb, this.type?.cacheGb ?? Infinity, isInUse);
  }

  /** Records that the worker has fetched the image. */
  markImageFetched(image: string): void {
    if (this.images.finishFetch(image)) this.revision++;
  }

  /** Records that the worker abandons the fetch because no attempt needs the image any more. */
  abandonImageFetch(image: string): void {
    this.images.abandonFetch(image);
    this.revision++;
  }
}
