import { TASKS_PER_CHUNK } from "./records.js";

const BITMAP_BYTES = TASKS_PER_CHUNK / 8;

/** A run of a job's tasks that is kept in one record; `Attempt`: what stands for an attempt of one of them. */
export class TaskChunk<Attempt> {
  /** One bit for each task that is done. */
  readonly done = new Uint8Array(BITMAP_BYTES);
  /** What of `done` is certainly in the state store: only that may be reaped. */
  durablyDone: Uint8Array = new Uint8Array(BITMAP_BYTES);
  /** Version of its key; 0: not written yet. */
  version = 0;
  /** Something has changed since it was written. */
  isDirty = false;
  /** Attempts that are planned but not durable make it urgent. */
  isUrgent = false;
  /** Attempts by their task. */
  readonly attempts = new Map<number, Attempt>();

  constructor(readonly index: number) {}

  /** The chunk that holds the task. */
  static indexOf(task: number): number {
    return Math.floor(task / TASKS_PER_CHUNK);
  }

  isDone(task: number): boolean {
    return isSet(this.done, task % TASKS_PER_CHUNK);
  }

  isDurablyDone(task: number): boolean {
    return isSet(this.durablyDone, task % TASKS_PER_CHUNK);
  }

  markDone(task: number): void {
    const bit = task % TASKS_PER_CHUNK;
    this.done[bit >> 3]! |= 1 << (bit & 7);
    this.isDirty = true;
  }

  /** Takes over what the state store holds; returns how many tasks are done. */
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
