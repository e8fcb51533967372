/**
 * Divides a job's tasks into chunks with one stored record each, so that a job of 100,000 tasks is never written as a
 * whole.
 */
import { BITMAP_BYTES, TASKS_PER_CHUNK } from "./records.js";

/**
 * The results and attempts of `TASKS_PER_CHUNK` consecutive tasks of a job, which are stored in one record, and whether
 * the state store holds them. `Attempt` is a type parameter so that this module does not depend on jobs.
 */
export class TaskChunk<Attempt> {
  /** Bitmap in which the bit of each finished task is set. */
  readonly done = new Uint8Array(BITMAP_BYTES);
  /** The part of `done` that the state store is known to hold; workers may reap the exits of these tasks only. */
  durablyDone: Uint8Array = new Uint8Array(BITMAP_BYTES);
  /** Version of the chunk's key; 0 if the chunk has not been written. */
  version = 0;
  /** Whether the chunk has changed since the last write of it was sent. */
  isDirty = false;
  /** Whether the chunk holds planned attempts whose start commands wait for the next write. */
  isUrgent = false;
  /** Attempts by task number. */
  readonly attempts = new Map<number, Attempt>();

  constructor(readonly index: number) {}

  /** Index of the chunk that holds the task. */
  static indexOf(task: number): number {
    return Math.floor(task / TASKS_PER_CHUNK);
  }

  isDone(task: number): boolean {
    return isBitSet(this.done, task % TASKS_PER_CHUNK);
  }

  /** Whether the task is done and the state store is known to hold that result. */
  isDurablyDone(task: number): boolean {
    return isBitSet(this.durablyDone, task % TASKS_PER_CHUNK);
  }

  /** Marks the task as done, which still has to be written to the state store. */
  markDone(task: number): void {
    const bit = task % TASKS_PER_CHUNK;
    this.done[bit >> 3]! |= 1 << (bit & 7);
    this.isDirty = true;
  }

  /** Loads the stored bitmap, read at `version`; returns the number of finished tasks. */
  load(done: Uint8Array, version: number): number {
    this.done.set(done);
    this.durablyDone.set(done);
    this.version = version;
    return countBits(done);
  }
}

function isBitSet(bitmap: Uint8Array, bit: number): boolean {
  return (bitmap[bit >> 3]! & (1 << (bit & 7))) !== 0;
}

function countBits(bitmap: Uint8Array): number {
  let count = 0;
  for (const byte of bitmap) for (let remaining = byte; remaining > 0; remaining &= remaining - 1) count++;
  return count;
}
