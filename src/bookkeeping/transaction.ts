/**
 * Composes the leader's next compare-and-swap from what waits to be written. Pure: it reads jobs and changes nothing.
 *
 * Every write is conditional: on the term, so that a deposed leader changes nothing; on the job's head, so that no start
 * is planned after a cancellation was promised (rule `ran_cancelled`); on the version of what it overwrites, so that a
 * late copy of an older transaction changes nothing.
 */
import type { Change, VersionCondition } from "../protocol/stateStore.js";
import { encodeChunk, encodeFinal, keys, type ChunkRecord } from "./records.js";
import type { Attempt, Chunk, Job } from "./workload.js";

/** The state store takes so many conditions for each change that it takes in one transaction. */
const CONDITIONS_PER_CHANGE = 4;
/** Conditions of a chunk or a final record beyond one for each of its changes: the job's head, and the final key. */
const EXTRA_CONDITIONS = 2;

/** Sizes of a request's parts as they are counted against the limit, in bytes; generous, so that none is ever over it. */
const REQUEST_BYTES = 256;
const CHUNK_OVERHEAD_BYTES = 200;
const FINAL_RECORD_BYTES = 400;
const DELETED_KEY_BYTES = 120;

/** A job with up to so many chunks is deleted in one transaction; those of a larger one become obsolete keys. */
const MAX_CHUNKS_DELETED_AT_ONCE = 4;

/** What of a chunk becomes durable with the transaction. */
export interface ChunkPart {
  kind: "chunk";
  job: Job;
  chunk: Chunk;
  attempts: Attempt[];
  /** The chunk's bitmap of done tasks as it is written. */
  done: Uint8Array;
}

/** The job's move to the final jobs. */
export interface FinalPart {
  kind: "final";
  job: Job;
}

/** What becomes durable with one part of a transaction. */
export type TransactionPart = ChunkPart | FinalPart;

/** One compare-and-swap, and what its success makes durable. */
export interface Transaction {
  /** All of them have to hold, or nothing is changed. */
  conditions: VersionCondition[];
  changes: Change[];
  parts: TransactionPart[];
  /** Keys that no live job needed any more: deleted with it. */
  obsoleteKeys: string[];
}

/** How much one transaction may hold. */
export interface TransactionLimits {
  /** Changes that the transaction may hold. */
  changes: number;
  /** Of these, chunks whose results can wait. */
  deferredChunks: number;
  bytes: number;
}

/** Keys that no live job needs any more, with their versions. */
export type ObsoleteKeys = Map<string, number>;

/** A chunk that waits to be written, with the job whose tasks it holds. */
export interface WaitingChunk {
  job: Job;
  chunk: Chunk;
}

/** What waits to be written, by how pressing it is. */
export interface WaitingWrites {
  /** Chunks with planned attempts: no start is sent before they are written. Highest priority first. */
  urgentChunks: WaitingChunk[];
  /** Jobs that may move to the final ones. */
  finishedJobs: Job[];
  /** Chunks with results only, which can wait. */
  deferredChunks: WaitingChunk[];
}

/** Sorts what waits by how pressing it is. */
export function findWaitingWrites(jobs: Iterable<Job>): WaitingWrites {
  const waiting: WaitingWrites = { urgentChunks: [], finishedJobs: [], deferredChunks: [] };
  for (const job of jobs) {
    if (job.canFinalize) {
      waiting.finishedJobs.push(job);
      continue;
    }
    for (const chunk of job.chunks.values()) {
      if (chunk.isUrgent) waiting.urgentChunks.push({ job, chunk });
      else if (chunk.isDirty) waiting.deferredChunks.push({ job, chunk });
    }
  }
  waiting.urgentChunks.sort((left, right) => right.job.spec.priority - left.job.spec.priority);
  return waiting;
}

/** Puts what waits to be written into one transaction, the most pressing first, as far as the limits allow. */
export function composeTransaction(
  jobs: Iterable<Job>,
  obsoleteKeys: ObsoleteKeys,
  termVersion: number,
  limits: TransactionLimits,
): Transaction {
  const { urgentChunks, finishedJobs, deferredChunks } = findWaitingWrites(jobs);
  const builder = new TransactionBuilder(termVersion, limits);
  builder.addChunks(urgentChunks);
  builder.addFinalRecords(finishedJobs);
  builder.addChunks(deferredChunks.slice(0, limits.deferredChunks));
  builder.addDeletions(obsoleteKeys);
  return builder.transaction;
}

/** Owns a transaction in the making and its limits. Each step stops at the first item that doesn't fit any more. */
class TransactionBuilder {
  readonly transaction: Transaction;
  private bytes = REQUEST_BYTES;
  /** Jobs whose head is among the conditions. */
  private readonly jobsWithHead = new Set<Job>();

  constructor(
    termVersion: number,
    private readonly limits: TransactionLimits,
  ) {
    this.transaction = {
      conditions: [{ key: keys.term, version: termVersion }],
      changes: [],
      parts: [],
      obsoleteKeys: [],
    };
  }

  addChunks(waiting: WaitingChunk[]): void {
    for (const { job, chunk } of waiting) if (!this.addChunk(job, chunk)) return;
  }

  private addChunk(job: Job, chunk: Chunk): boolean {
    const value = encodeChunk(chunkRecord(chunk));
    const bytes = JSON.stringify(value).length + CHUNK_OVERHEAD_BYTES;
    if (!this.fits(1, bytes)) return false;
    this.requireHead(job);
    const key = keys.chunk(job.id, chunk.index);
    this.requireVersion(key, chunk.version);
    this.transaction.changes.push({ put: key, value });
    const attempts = [...chunk.attempts.values()];
    this.transaction.parts.push({ kind: "chunk", job, chunk, attempts, done: chunk.done.slice() });
    this.bytes += bytes;
    return true;
  }

  addFinalRecords(jobs: Job[]): void {
    for (const job of jobs) if (!this.addFinalRecord(job)) return;
  }

  private addFinalRecord(job: Job): boolean {
    const written = [...job.chunks.values()].filter((chunk) => chunk.version > 0);
    const deleted = written.length <= MAX_CHUNKS_DELETED_AT_ONCE ? written : [];
    if (!this.fits(2 + deleted.length, FINAL_RECORD_BYTES)) return false;
    this.requireHead(job);
    this.requireVersion(keys.final(job.id), 0);
    const value = encodeFinal({ isCancelled: job.isCancelled, tasks: job.spec.tasks });
    this.transaction.changes.push({ put: keys.final(job.id), value }, { delete: keys.head(job.id) });
    for (const chunk of deleted) this.delete(keys.chunk(job.id, chunk.index), chunk.version);
    this.transaction.parts.push({ kind: "final", job });
    this.bytes += FINAL_RECORD_BYTES + deleted.length * DELETED_KEY_BYTES;
    return true;
  }

  /** Obsolete keys take no more than the first half of the transaction: whatever else waits is more pressing. */
  addDeletions(obsoleteKeys: ObsoleteKeys): void {
    const maxChanges = Math.max(1, Math.floor(this.limits.changes / 2));
    for (const [key, version] of obsoleteKeys) {
      if (this.transaction.changes.length >= maxChanges || !this.fits(1, DELETED_KEY_BYTES)) return;
      this.delete(key, version);
      this.transaction.obsoleteKeys.push(key);
    }
  }

  private fits(changes: number, bytes: number): boolean {
    const { transaction, limits } = this;
    return (
      transaction.changes.length + changes <= limits.changes &&
      this.bytes + bytes <= limits.bytes &&
      transaction.conditions.length + EXTRA_CONDITIONS + changes <= limits.changes * CONDITIONS_PER_CHANGE
    );
  }

  private requireHead(job: Job): void {
    if (this.jobsWithHead.has(job)) return;
    this.jobsWithHead.add(job);
    this.requireVersion(keys.head(job.id), job.headVersion);
  }

  private requireVersion(key: string, version: number): void {
    this.transaction.conditions.push({ key, version });
  }

  private delete(key: string, version: number): void {
    this.requireVersion(key, version);
    this.transaction.changes.push({ delete: key });
  }
}

/** What the state store gets for a chunk as it stands. */
function chunkRecord(chunk: Chunk): ChunkRecord {
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
