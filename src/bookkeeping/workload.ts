/**
 * Jobs, their attempts, and the machines that these run on, as a term's leader sees them. They refer to one another and
 * so share a module; whoever changes an attempt goes through `Attempts` of the term, which keeps both sides in step.
 */
import type { JobSpec, MachineType, TaskStatus } from "../protocol/model.js";
import { ImageCache } from "./imageCache.js";
import { TASKS_PER_CHUNK, type ChunkRecord, type JobHead } from "./records.js";
import type { Resources } from "./resources.js";
import { TaskChunk } from "./taskChunk.js";

/** One start of one task, from its plan until it is proved gone. It holds place and quota all that time. */
export interface Attempt {
  job: Job;
  task: number;
  number: number;
  machine: Machine;
  /** Planned: not yet in the state service, so nothing may be sent. */
  isDurable: boolean;
  /** Read from the state service by a new leader: its start may have been sent by another. */
  isInherited: boolean;
  /** Highest token that a start of it went out under; -1: not sent by this leader. */
  sentToken: number;
  sentEpoch: number;
  sentMs: number;
  /** As last reported; null: never seen. */
  phase: "fetching" | "waiting" | "running" | "saving" | null;
  plannedMs: number;
  runningMs: number | null;
  /** Set once it is to be stopped. */
  stop: { sinceMs: number; graceS: number; sent: boolean; lastSentMs: number } | null;
}

/** A run of a job's tasks that is kept in one record. */
export type Chunk = TaskChunk<Attempt>;

/** A live job as its leader sees it. Nothing here grows with tasks that were never touched. */
export class Job {
  readonly chunks = new Map<number, Chunk>();
  readonly attempts = new Set<Attempt>();
  /** Tasks that have to run again, lowest last. */
  private requeued: number[] = [];
  /** Tasks from here on were never started. */
  private nextUnstarted = 0;
  doneCount = 0;
  /** Null: it is not cancelled. */
  cancelledAt: Date | null;
  /** Steady time of the submission, as near as we know. */
  readonly submittedMs: number;
  /** Nothing of it is started before this, after failures. */
  notBeforeMs = 0;
  failureCount = 0;
  /** Machines on which it failed, ever. */
  readonly failedOn = new Set<string>();
  /** Machines on which it failed, and until when they are avoided. */
  readonly avoidedUntilMs = new Map<string, number>();

  constructor(
    readonly spec: JobSpec,
    readonly acceptedAt: Date,
    public headVersion: number,
    cancelledAt: Date | null,
    bornMs: number,
  ) {
    this.cancelledAt = cancelledAt;
    this.submittedMs = bornMs;
  }

  static fromHead(head: JobHead, version: number, bornMs: number): Job {
    return new Job(head.spec, head.acceptedAt, version, head.cancelledAt, bornMs);
  }

  get isCancelled(): boolean {
    return this.cancelledAt !== null;
  }

  get id(): string {
    return this.spec.id;
  }

  /** The chunk that holds the task; made when there is none yet. */
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

  /** Its result is certainly in the state store. */
  isDurablyDone(task: number): boolean {
    return this.chunks.get(TaskChunk.indexOf(task))?.isDurablyDone(task) ?? false;
  }

  attemptOf(task: number): Attempt | undefined {
    return this.chunks.get(TaskChunk.indexOf(task))?.attempts.get(task);
  }

  /** False when it was done already. */
  markDone(task: number): boolean {
    if (task < 0 || task >= this.spec.tasks || this.isDone(task)) return false;
    this.chunkOf(task).markDone(task);
    this.doneCount++;
    return true;
  }

  get isComplete(): boolean {
    return this.doneCount >= this.spec.tasks;
  }

  /** Over, and nothing of it can be anywhere: only then may it be moved to the final jobs. */
  get canFinalize(): boolean {
    // A gang's last members may still hold place and quota when its result is known: they are waited for.
    return this.attempts.size === 0 && (this.isCancelled || this.isComplete);
  }

  attach(attempt: Attempt): void {
    const chunk = this.chunkOf(attempt.task);
    if (chunk.attempts.has(attempt.task))
      throw new Error(`${this.id}/${attempt.task} has an attempt already`);
    chunk.attempts.set(attempt.task, attempt);
    this.attempts.add(attempt);
  }

  detach(attempt: Attempt): void {
    const chunk = this.chunkOf(attempt.task);
    if (chunk.attempts.get(attempt.task) === attempt) chunk.attempts.delete(attempt.task);
    this.attempts.delete(attempt);
    chunk.isDirty = true;
  }

  requeue(task: number): void {
    if (task >= this.nextUnstarted || this.isDone(task)) return;
    this.requeued.push(task);
  }

  /** Tasks that wait for a place. */
  get pendingCount(): number {
    if (this.isCancelled) return 0;
    return this.spec.tasks - this.doneCount - this.attempts.size;
  }

  /** Takes the next task that has neither result nor attempt. */
  takePending(): number | null {
    while (this.requeued.length > 0) {
      const task = this.requeued.pop()!;
      if (!this.isDone(task) && !this.attemptOf(task)) return task;
    }
    while (this.nextUnstarted < this.spec.tasks) {
      const task = this.nextUnstarted++;
      if (!this.isDone(task) && !this.attemptOf(task)) return task;
    }
    return null;
  }

  /** Takes over what the state service holds of a chunk. */
  load(index: number, record: ChunkRecord, version: number): void {
    this.doneCount += this.chunkOf(index * TASKS_PER_CHUNK).load(record.done, version);
  }

  runningCount(): number {
    if (this.attempts.size === 0) return 0;
    let running = 0;
    for (const a of this.attempts) if (a.phase === "running" || a.phase === "saving") running++;
    return running;
  }
}

/** What goes into the state service for a chunk as it stands. */
export function chunkRecord(chunk: Chunk): ChunkRecord {
  return {
    done: chunk.done,
    attempts: [...chunk.attempts.values()].map((attempt) => ({
      task: attempt.task,
      attempt: attempt.number,
      machine: attempt.machine.name,
      zone: attempt.machine.zone,
    })),
  };
}

/** A machine as its leader sees it. */
export class Machine {
  /** Booting: rented and never heard of. Up: has reported to this leader. Leaving: its deletion is asked for. */
  state: "booting" | "up" | "leaving" = "booting";
  address = "";
  epoch = 0;
  tick = 0;
  /** Highest token its worker says it has seen. */
  seenToken = 0;
  /** The token for the next command; only this leader uses it. */
  fencingToken: number;
  /** Highest token under which a start went out to it. */
  lastStartToken = -1;
  /** The controller that its reports come through; null: not known. */
  heartbeatServer: string | null = null;
  /** The newest of its reports (its answers to commands count ticks as well). */
  heartbeatEpoch = 0;
  heartbeatTick = 0;
  /**
   * Token that it must show before it gets new work: hearing a machine is no proof that it hears us. A new leader
   * asks for one of its own term, so that a late copy of a report brings back no machine.
   */
  requiredToken: number;
  unreachableSinceMs = -Infinity;
  lastProbeMs = -Infinity;
  /** When we last learned that a report of it was answered, or that it began a session; its lease began no later. */
  lastAcknowledgedMs = -Infinity;
  lastContactMs: number;
  /** When a controller last acknowledged one of its reports: answers to commands renew no lease. */
  lastHeartbeatMs = -Infinity;
  /** Steady time at which the cloud takes it, when there is a notice. */
  interruptionAtMs: number | null = null;
  hasNewInterruptionNotice = false;
  /** No new work; used when it is faulty or about to be given back. */
  isCordoned = false;
  cordonReason = "";
  cordonUntilMs = Infinity;
  idleSinceMs: number | null;
  /** The cloud lists it as running, so it has come up once, though perhaps not for this leader. */
  isListedAsRunning = false;
  readonly attempts = new Set<Attempt>();
  /** Counts whatever changes its room or its images. */
  revision = 0;
  listedTasks: TaskStatus[] = [];
  readonly images = new ImageCache();
  readonly used: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };
  /** Failed starts in a row, by job. */
  consecutiveFailures = new Map<string, number>();

  constructor(
    readonly name: string,
    public type: MachineType | null,
    public zone: string,
    public spot: boolean,
    firstToken: number,
    public createdMs: number,
  ) {
    this.fencingToken = firstToken;
    this.requiredToken = firstToken;
    this.lastContactMs = createdMs;
    this.idleSinceMs = createdMs;
  }

  /** It has shown that what we send reaches it. */
  get isReachable(): boolean {
    return this.seenToken >= this.requiredToken;
  }

  /** What we sent got no answer: it has to show a token that it can only have from us, from now on. */
  requireNewToken(nowMs: number): void {
    if (this.isReachable) this.unreachableSinceMs = nowMs;
    this.fencingToken = Math.max(this.fencingToken, this.lastStartToken) + 1;
    this.requiredToken = this.fencingToken;
  }

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

  detach(attempt: Attempt, nowMs: number): void {
    if (!this.attempts.delete(attempt)) return;
    this.revision++;
    const spec = attempt.job.spec;
    this.used.cpus -= spec.cpus;
    this.used.gpus -= spec.gpus;
    this.used.memoryGb -= spec.memoryGb;
    if (this.attempts.size === 0) {
      // Start from zero again, so that rounding errors don't pile up.
      this.used.cpus = this.used.gpus = this.used.memoryGb = 0;
      this.idleSinceMs = nowMs;
    }
  }

  private useImage({ image, imageGb }: JobSpec): void {
    const isInUse = (other: string): boolean => [...this.attempts].some((a) => a.job.spec.image === other);
    this.images.use(image, imageGb, this.type?.cacheGb ?? Infinity, isInUse);
  }

  /** The image has been fetched. */
  markImageFetched(image: string): void {
    if (this.images.finishFetch(image)) this.revision++;
  }

  /** No task waits for the image any more: the worker has given the fetch up. */
  abandonImageFetch(image: string): void {
    this.images.abandonFetch(image);
    this.revision++;
  }
}
