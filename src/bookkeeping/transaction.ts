/**
 * Composes the leader's next compare-and-swap transaction from the pending changes. It reads jobs and modifies none.
 *
 * Every transaction is conditional on the term, so that a deposed leader changes nothing; on the job's head, so that no
 * start is planned after a cancellation has been confirmed to a user (rule `ran_cancelled`); and on the versions of the
 * keys that it overwrites, so that a delayed older transaction changes nothing.
 */
import type { Change, VersionCondition } from "../protocol/stateStore.js";
import { encodeChunk, encodeFinal, keys, type ChunkRecord } from "./records.js";
import type { Attempt, Chunk, Job } from "./workload.js";

/** Number of conditions that the state store accepts per change of its transaction size limit. */
const CONDITIONS_PER_CHANGE = 4;
/** Conditions of a chunk or final record in addition to one per change: on the job's head and on its final key. */
const EXTRA_CONDITIONS = 2;

/** Upper estimates of the sizes of a request's parts in bytes, so that no request exceeds the size limit. */
const REQUEST_BYTES = 256;
const CHUNK_OVERHEAD_BYTES = 200;
const FINAL_RECORD_BYTES = 400;
const DELETED_KEY_BYTES = 120;

/** Most chunks deleted in the transaction that finalizes a job; the keys of a larger job's chunks become obsolete. */
const MAX_CHUNKS_DELETED_AT_ONCE = 4;

/** The state of a chunk that a transaction makes durable. */
export interface ChunkPart {
  kind: "chunk";
  job: Job;
  chunk: Chunk;
  attempts: Attempt[];
  /** The chunk's bitmap of done tasks as it is written. */
  done: Uint8Array;
}

/** The replacement of a job's head by its final record. */
export interface FinalPart {
  kind: "final";
  job: Job;
}

/** The state that one part of a transaction makes durable. */
export type TransactionPart = ChunkPart | FinalPart;

/** One compare-and-swap, and the state that its success makes durable. */
export interface Transaction {
  /** Conditions that all have to hold; otherwise none of the changes is made. */
  conditions: VersionCondition[];
  changes: Change[];
  parts: TransactionPart[];
  /** Keys that no live job needs any more and that the transaction deletes. */
  obsoleteKeys: string[];
}

/** Size limits of one transaction. */
export interface TransactionLimits {
  /** Maximum number of changes. */
  changes: number;
  /** Maximum number of chunks that hold results only and whose write can be deferred. */
  deferredChunks: number;
  /** Maximum size of the request, in bytes. */
  bytes: number;
}

/** Keys that no live job needs any more, mapped to their versions. */
export type ObsoleteKeys = Map<string, number>;

/** A chunk with unwritten changes, and the job whose tasks it holds. */
export interface PendingChunk {
  job: Job;
  chunk: Chunk;
}

/** All pending writes by urgency. */
export interface PendingWrites {
  /** Chunks with planned attempts, whose start commands are not sent before the write. Highest job priority first. */
  urgentChunks: PendingChunk[];
  /** Jobs whose final record may be written. */
  finishedJobs: Job[];
  /** Chunks that hold only results, whose write can be deferred. */
  deferredChunks: PendingChunk[];
}

/** Collects the pending writes of all jobs and sorts them by urgency. */
export function findPendingWrites(jobs: Iterable<Job>): PendingWrites {
  const pending: PendingWrites = { urgentChunks: [], finishedJobs: [], deferredChunks: [] };
  for (const job of jobs) {
    if (job.canFinalize) {
      pending.finishedJobs.push(job);
      continue;
    }
    for (const chunk of job.chunks.values()) {
      if (chunk.isUrgent) pending.urgentChunks.push({ job, chunk });
      else if (chunk.isDirty) pending.deferredChunks.push({ job, chunk });
    }
  }
  pending.urgentChunks.sort((left, right) => right.job.spec.priority - left.job.spec.priority);
  return pending;
}

/** Composes a transaction from the pending writes, most urgent first, up to the limits. */
export function composeTransaction(
  jobs: Iterable<Job>,
  obsoleteKeys: ObsoleteKeys,
  termVersion: number,
  limits: TransactionLimits,
): Transaction {
  const { urgentChunks, finishedJobs, deferredChunks } = findPendingWrites(jobs);
  const builder = new TransactionBuilder(termVersion, limits);
  builder.addChunks(urgentChunks);
  builder.addFinalRecords(finishedJobs);
  builder.addChunks(deferredChunks.slice(0, limits.deferredChunks));
  builder.addDeletions(obsoleteKeys);
  return builder.transaction;
}

/** Builds a transaction within its limits. Each `add` method stops at the first item that exceeds a limit. */
class TransactionBuilder {
  readonly transaction: Transaction;
  private bytes = REQUEST_BYTES;
  /** Jobs whose head is already among the conditions. */
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

  addChunks(pending: PendingChunk[]): void {
    for (const { job, chunk } of pending) if (!this.addChunk(job, chunk)) return;
  }

  private addChunk(job: Job, chunk: Chunk): boolean {
    const value = encodeChunk(chunkRecord(chunk));
    const bytes = JSON.stringify(value).length + CHUNK_OVERHEAD_BYTES;
    if (!this.fits(1, bytes)) return false;
    this.addHeadCondition(job);
    const key = keys.chunk(job.id, chunk.index);
    this.addVersionCondition(key, chunk.version);
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
    const writtenChunks = [...job.chunks.values()].filter((chunk) => chunk.version > 0);
    const deletedChunks = writtenChunks.length <= MAX_CHUNKS_DELETED_AT_ONCE ? writtenChunks : [];
    if (!this.fits(2 + deletedChunks.length, FINAL_RECORD_BYTES)) return false;
    this.addHeadCondition(job);
    this.addVersionCondition(keys.final(job.id), 0);
    const value = encodeFinal({ isCancelled: job.isCancelled, tasks: job.spec.tasks });
    this.transaction.changes.push({ put: keys.final(job.id), value }, { delete: keys.head(job.id) });
    for (const chunk of deletedChunks) this.delete(keys.chunk(job.id, chunk.index), chunk.version);
    this.transaction.parts.push({ kind: "final", job });
    this.bytes += FINAL_RECORD_BYTES + deletedChunks.length * DELETED_KEY_BYTES;
    return true;
  }

  /** Adds deletions only while the transaction is less than half full, because all other writes are more urgent. */
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

  private addHeadCondition(job: Job): void {
    if (this.jobsWithHead.has(job)) return;
    this.jobsWithHead.add(job);
    this.addVersionCondition(keys.head(job.id), job.headVersion);
  }

  private addVersionCondition(key: string, version: number): void {
    this.transaction.conditions.push({ key, version });
  }

  private delete(key: string, version: number): void {
    this.addVersionCondition(key, version);
    this.transaction.changes.push({ delete: key });
  }
}

/** The record that represents the chunk's current state in the state store. */
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
