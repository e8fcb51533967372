import type { JobSpec } from "../protocol/model.js";
import { TASKS_PER_CHUNK, type ChunkRecord, type JobHead } from "./records.js";
import type { Machine } from "./machines.js";

/** One start of one task, from its plan until it is proved gone. It holds place and quota all that time. */
export interface Attempt {
  job: Job;
  task: number;
  number: number;
  machine: Machine;
  /** Planned: not yet in the state service, so nothing may be sent. */
  durable: boolean;
  /** Read from the state service by a new leader: its start may have been sent by another. */
  inherited: boolean;
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

export interface Chunk {
  index: number;
  done: Uint8Array;
  /** What of `done` is certainly in the state service: only that may be reaped. */
  durableDone: Uint8Array;
  /** Version of its key; 0: not written yet. */
  version: number;
  dirty: boolean;
  /** Attempts that are planned but not durable make it urgent. */
  urgent: boolean;
  attempts: Map<number, Attempt>;
}

function bit(bits: Uint8Array, at: number): boolean {
  return (bits[at >> 3]! & (1 << (at & 7))) !== 0;
}

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
  errors = 0;
  /** Machines on which it failed, ever. */
  readonly failedOn = new Set<string>();
  /** Machines on which it failed, and until when they are avoided. */
  readonly avoid = new Map<string, number>();

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

  get cancelled(): boolean {
    return this.cancelledAt !== null;
  }

  get id(): string {
    return this.spec.id;
  }

  chunkOf(task: number): Chunk {
    const index = Math.floor(task / TASKS_PER_CHUNK);
    let chunk = this.chunks.get(index);
    if (!chunk) {
      chunk = {
        index,
        done: new Uint8Array(TASKS_PER_CHUNK / 8),
        durableDone: new Uint8Array(TASKS_PER_CHUNK / 8),
        version: 0,
        dirty: false,
        urgent: false,
        attempts: new Map(),
      };
      this.chunks.set(index, chunk);
    }
    return chunk;
  }

  isDone(task: number): boolean {
    const chunk = this.chunks.get(Math.floor(task / TASKS_PER_CHUNK));
    return chunk !== undefined && bit(chunk.done, task % TASKS_PER_CHUNK);
  }

  isDurablyDone(task: number): boolean {
    const chunk = this.chunks.get(Math.floor(task / TASKS_PER_CHUNK));
    return chunk !== undefined && bit(chunk.durableDone, task % TASKS_PER_CHUNK);
  }

  attemptOf(task: number): Attempt | undefined {
    return this.chunks.get(Math.floor(task / TASKS_PER_CHUNK))?.attempts.get(task);
  }

  /** False when it was done already. */
  markDone(task: number): boolean {
    if (task < 0 || task >= this.spec.tasks || this.isDone(task)) return false;
    const chunk = this.chunkOf(task);
    chunk.done[(task % TASKS_PER_CHUNK) >> 3]! |= 1 << ((task % TASKS_PER_CHUNK) & 7);
    chunk.dirty = true;
    this.doneCount++;
    return true;
  }

  get isComplete(): boolean {
    return this.doneCount >= this.spec.tasks;
  }

  /** Over, and nothing of it can be anywhere: only then may it be moved to the final jobs. */
  get canFinalize(): boolean {
    // A gang's last members may still hold place and quota when its result is known: they are waited for.
    return this.attempts.size === 0 && (this.cancelled || this.isComplete);
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
    chunk.dirty = true;
  }

  requeue(task: number): void {
    if (task >= this.nextUnstarted || this.isDone(task)) return;
    this.requeued.push(task);
  }

  /** Tasks that wait for a place. */
  get pending(): number {
    if (this.cancelled) return 0;
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
    const chunk = this.chunkOf(index * TASKS_PER_CHUNK);
    chunk.done.set(record.done);
    chunk.durableDone.set(record.done);
    chunk.version = version;
    for (const byte of record.done) for (let b = byte; b > 0; b &= b - 1) this.doneCount++;
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
