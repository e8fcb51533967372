/**
 * A job's tasks are kept in chunks, one stored record each, so that a job of 100,000 tasks is never written whole.
 */
import { BITMAP_BYTES, TASKS_PER_CHUNK } from "./records.js";

/**
 * A run of `TASKS_PER_CHUNK` tasks of a job, which are stored in one record: what is done of it, what runs, and whether
 * the state store holds that. `Attempt`: the type of an attempt, left open so that this module needs nothing of jobs.
 */
export class TaskChunk<Attempt> {
  /** One bit for each task that is done. */
  readonly done = new Uint8Array(BITMAP_BYTES);
  /** What of `done` is certainly in the state store: only exits of these tasks may be reaped on their workers. */
  durablyDone: Uint8Array = new Uint8Array(BITMAP_BYTES);
  /** Version of its key; 0: not written yet. */
  version = 0;
  /** Something of it has changed since the last write was composed. */
  isDirty = false;
  /** It holds planned attempts that are not durable, so that their starts wait for the next write. */
  isUrgent = false;
  /** Attempts by their task. */
  readonly attempts = new Map<number, Attempt>();

  constructor(readonly index: number) {}

  /** Index of the chunk that holds the task. */
  static indexOf(task: number): number {
    return Math.floor(task / TASKS_PER_CHUNK);
  }

  isDone(task: number): boolean {
    return isSet(this.done, task % TASKS_PER_CHUNK);
  }

  /** The task is done, and the state store certainly holds that. */
  isDurablyDone(task: number): boolean {
    return isSet(this.durablyDone, task % TASKS_PER_CHUNK);
  }

  /** The task is done; the state store has yet to hold that. */
  markDone(task: number): void {
    const bit = task % TASKS_PER_CHUNK;
    this.done[bit >> 3]! |= 1 << (bit & 7);
    this.isDirty = true;
  }

  /** Applies the stored record, at its version; returns how many tasks are done. */
  load(done: Uint8Array, version: number): number {
    this.done.set(done);
    this.durablyDone.set(done);
    this.version = version;
    return countBits(done);
  }
}

function isSet(bitmap: Uint8Array, bit: number): boolean {
  return (bitmap[bit >> 3]! & (1 << (bit & 7))) !== 0;
}

function countBits(bitmap: Uint8Array): number {
  let count = 0;
  for (const byte of bitmap) for (let rest = byte; rest > 0; rest &= rest - 1) count++;
  return count;
}
