/**
 * Jobs, their attempts, and the machines that these run on, as a term's leader sees them. They refer to one another and
 * so share a module; whoever changes an attempt goes through `Attempts` of the term, which keeps both sides in step.
 */
import type { JobSpec, MachineType, TaskPhase, TaskStatus } from "../protocol/model.js";
import { FencedWorker } from "./fencedWorker.js";
import { ImageCache } from "./imageCache.js";
import { PendingTasks } from "./pendingTasks.js";
import { TASKS_PER_CHUNK, type ChunkRecord, type JobHead } from "./records.js";
import type { Resources } from "./resources.js";
import { TaskChunk } from "./taskChunk.js";

/** The leader's decision to stop an attempt. */
export interface StopRequest {
  /** Steady time of the decision. */
  sinceMs: number;
  /** Time that the task gets to save its state, in seconds. */
  graceS: number;
  isSent: boolean;
  /** Steady time of the last stop command; -Infinity: none was sent. */
  lastSentMs: number;
}

/** One start of one task, from its plan until it is proved gone. It holds resources and quota all that time. */
export interface Attempt {
  job: Job;
  task: number;
  /** Unique among all attempts of all terms. */
  number: number;
  machine: Machine;
  /** The state store certainly holds it; before that, no start may be sent. */
  isDurable: boolean;
  /** Read from the state store when the term began: an earlier leader may have sent its start. */
  isInherited: boolean;
  /** Highest fencing token that a start of it was sent under; -1: this leader has sent none. */
  sentToken: number;
  /** Worker's epoch that the start named. */
  sentEpoch: number;
  /** Steady time when the start was last sent; -Infinity: it is to be sent at once. */
  sentMs: number;
  /** As its worker's newest heartbeat says; null: no heartbeat has listed it. */
  phase: Exclude<TaskPhase, "exited"> | null;
  /** Steady time of the plan, or of its reading when it is inherited. */
  plannedMs: number;
  /** Steady time when it was first seen running; null: not yet. */
  runningMs: number | null;
  /** Null: it is not to be stopped. */
  stop: StopRequest | null;
}

/** A run of a job's tasks that is kept in one record. */
export type Chunk = TaskChunk<Attempt>;

/** A live job as its leader sees it. Its size does not grow with tasks that were never started. */
export class Job {
  /** Chunks with a task that was ever started, by their index. */
  readonly chunks = new Map<number, Chunk>();
  readonly attempts = new Set<Attempt>();
  private readonly pendingTasks: PendingTasks;
  private readonly mayStart = (task: number): boolean => !this.isDone(task) && !this.attemptOf(task);
  doneCount = 0;
  /** Steady time before which nothing of it is started, after failures. */
  notBeforeMs = 0;
  /** Tasks that exited with an error. */
  failureCount = 0;
  /** Names of the machines on which it ever failed. */
  readonly failedOn = new Set<string>();
  /** Names of machines that it avoids for a while, and the steady time when that ends. */
  readonly avoidedUntilMs = new Map<string, number>();

  constructor(
    readonly spec: JobSpec,
    readonly acceptedAt: Date,
    /** Version of the head's key. */
    public headVersion: number,
    /** Time of day of the cancellation; null: it is not cancelled. */
    public cancelledAt: Date | null,
    /** Steady time of the submission, as near as the clocks allow. */
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

  /** The chunk that holds the task; created when there is none yet. */
  chunkOf(task: number): Chunk {
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

  /** The task is done, and the state store certainly holds that. */
  isDurablyDone(task: number): boolean {
    return this.chunks.get(TaskChunk.indexOf(task))?.isDurablyDone(task) ?? false;
  }

  attemptOf(task: number): Attempt | undefined {
    return this.chunks.get(TaskChunk.indexOf(task))?.attempts.get(task);
  }

  /** The task is done; false when that was known already, or there is no such task. */
  markDone(task: number): boolean {
    if (task < 0 || task >= this.spec.tasks || this.isDone(task)) return false;
    this.chunkOf(task).markDone(task);
    this.doneCount++;
    return true;
  }

  get isComplete(): boolean {
    return this.doneCount >= this.spec.tasks;
  }

  /** Finished, and nothing of it can run anywhere: only then may it be moved to the final jobs. */
  get canFinalize(): boolean {
    // A gang's last members may still hold resources and quota when its result is known: they are waited for.
    return this.attempts.size === 0 && (this.isCancelled || this.isComplete);
  }

  /** Adds an attempt of a task that has none. */
  attach(attempt: Attempt): void {
    const chunk = this.chunkOf(attempt.task);
    if (chunk.attempts.has(attempt.task))
      throw new Error(`${this.id}/${attempt.task} has an attempt already`);
    chunk.attempts.set(attempt.task, attempt);
    this.attempts.add(attempt);
  }

  /** The attempt is proved gone, which its chunk's record has yet to show. */
  detach(attempt: Attempt): void {
    const chunk = this.chunkOf(attempt.task);
    if (chunk.attempts.get(attempt.task) === attempt) chunk.attempts.delete(attempt.task);
    this.attempts.delete(attempt);
    chunk.isDirty = true;
  }

  /** The task has to run again, unless it is done. */
  requeue(task: number): void {
    if (!this.isDone(task)) this.pendingTasks.requeue(task);
  }

  /** Number of tasks that wait to be placed. */
  get pendingCount(): number {
    if (this.isCancelled) return 0;
    return this.spec.tasks - this.doneCount - this.attempts.size;
  }

  /** Takes the next task that has neither result nor attempt; null: there is none. */
  takePending(): number | null {
    return this.pendingTasks.take(this.mayStart);
  }

  /** Applies a chunk's record at its version, but for the attempts in it. */
  load(index: number, record: ChunkRecord, version: number): void {
    this.doneCount += this.chunkOf(index * TASKS_PER_CHUNK).load(record.done, version);
  }

  /** Number of tasks that run or save their state, as their workers last said. */
  runningCount(): number {
    if (this.attempts.size === 0) return 0;
    let running = 0;
    for (const { phase } of this.attempts) if (phase === "running" || phase === "saving") running++;
    return running;
  }
}

/** A machine, and the worker on it, as the term's leader sees them. All times are steady. */
export class Machine extends FencedWorker {
  /**
   * Booting: requested, and its worker has sent this leader no heartbeat. Up: it has. Leaving: the cloud is asked to delete
   * it.
   */
  state: "booting" | "up" | "leaving" = "booting";
  /** Null: not known yet. */
  type: MachineType | null = null;
  /** It is a spot instance; false while that is not known. */
  spot = false;
  /** Of the worker; empty: not known. */
  address = "";
  /** The worker's epoch and tick in the newest heartbeat whose task list was applied. */
  epoch = 0;
  tick = 0;
  /** The controller that acknowledges its heartbeats; null: not known. */
  heartbeatServer: string | null = null;
  /** Epoch and tick of its newest heartbeat (responses to commands count ticks as well, and are none). */
  heartbeatEpoch = 0;
  heartbeatTick = 0;
  /** When it was last sent a delivery: commands, or none to see whether it is reachable. */
  lastProbeMs = -Infinity;
  /** When this leader last learned of an acknowledged heartbeat or a new epoch of it: its lease began no later. */
  lastAcknowledgedMs = -Infinity;
  /** When a heartbeat or a response to a command was last received from it. */
  lastContactMs: number;
  /** When a controller last acknowledged one of its heartbeats: responses to commands renew no lease. */
  lastHeartbeatMs = -Infinity;
  /** When the cloud interrupts the spot instance; null: there is no notice. */
  interruptionAtMs: number | null = null;
  /** The notice has not been acted on. */
  hasNewInterruptionNotice = false;
  /** It gets no new work: it is faulty, or about to be scaled in. */
  isCordoned = false;
  /** For the log. */
  cordonReason = "";
  cordonUntilMs = Infinity;
  /** Since when it has no attempts; null: it has some. */
  idleSinceMs: number | null;
  /** The cloud lists it as running, so it has booted, though perhaps not for this leader. */
  isListedAsRunning = false;
  readonly attempts = new Set<Attempt>();
  /** Counts changes of its free resources, its images and its stop requests. */
  revision = 0;
  /** The tasks in its newest heartbeat. */
  listedTasks: TaskStatus[] = [];
  readonly images = new ImageCache();
  /** What its attempts hold. */
  readonly used: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };
  /** Failed starts since the last success on it, by job. */
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

  /** The attempt holds resources here from now on. */
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

  /** The attempt is proved gone: its resources are free. */
  detach(attempt: Attempt, nowMs: number): void {
    if (!this.attempts.delete(attempt)) return;
    this.revision++;
    const spec = attempt.job.spec;
    this.used.cpus -= spec.cpus;
    this.used.gpus -= spec.gpus;
    this.used.memoryGb -= spec.memoryGb;
    if (this.attempts.size === 0) {
      // Exactly zero again, so that rounding errors don't add up.
      this.used.cpus = this.used.gpus = this.used.memoryGb = 0;
      this.idleSinceMs = nowMs;
    }
  }

  private useImage({ image, imageGb }: JobSpec): void {
    const isInUse = (other: string): boolean =>
      [...this.attempts].some((attempt) => attempt.job.spec.image === other);
    this.images.use(image, imageGb, this.type?.cacheGb ?? Infinity, isInUse);
  }

  /** The image has been fetched. */
  markImageFetched(image: string): void {
    if (this.images.finishFetch(image)) this.revision++;
  }

  /** No attempt needs the image any more: the worker gives the fetch up. */
  abandonImageFetch(image: string): void {
    this.images.abandonFetch(image);
    this.revision++;
  }
}
