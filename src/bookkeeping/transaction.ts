import type { Change, VersionCondition } from "../protocol/stateStore.js";
import { type Attempt, type Chunk, type Job, chunkRecord } from "./workload.js";
import { encodeChunk, encodeFinal, keys } from "./records.js";

export interface TransactionPart {
  job: Job;
  /** Null: the job's move to the final jobs. */
  chunk: Chunk | null;
  /** What becomes durable with it. */
  attempts: Attempt[];
  done: Uint8Array | null;
}

export interface Transaction {
  conditions: VersionCondition[];
  changes: Change[];
  parts: TransactionPart[];
  obsoleteKeys: string[];
  /** Set when a round's moves, or the machine types, go along. */
  moves?: unknown;
  types?: boolean;
}

export interface TransactionLimits {
  changes: number;
  /** Of these, for results that can wait. */
  deferredChanges: number;
  bytes: number;
}

/** A key that no live job needs any more. */
export type ObsoleteKeys = Map<string, number>;

/**
 * Puts what waits to be written into one transaction, the most pressing first. Pure.
 *
 * Every write is guarded: by the term, so that a deposed leader changes nothing; by the job's head, so that
 * no start is planned after a cancellation was promised (rule `ran_cancelled`); by the version of what it
 * overwrites, so that a late copy of an older transaction changes nothing.
 */
export function composeTransaction(
  jobs: Iterable<Job>,
  garbage: ObsoleteKeys,
  termVersion: number,
  limits: TransactionLimits,
): Transaction {
  const transaction: Transaction = {
    conditions: [{ key: keys.term, version: termVersion }],
    changes: [],
    parts: [],
    obsoleteKeys: [],
  };
  let bytes = 256;
  const fits = (changes: number, size: number): boolean =>
    transaction.changes.length + changes <= limits.changes &&
    bytes + size <= limits.bytes &&
    transaction.conditions.length + 2 + changes <= limits.changes * 4;

  const addChunk = (job: Job, chunk: Chunk): boolean => {
    const value = encodeChunk(chunkRecord(chunk));
    const size = JSON.stringify(value).length + 200;
    if (!fits(1, size)) return false;
    const head = keys.head(job.id);
    if (!transaction.conditions.some((g) => g.key === head))
      transaction.conditions.push({ key: head, version: job.headVersion });
    transaction.conditions.push({ key: keys.chunk(job.id, chunk.index), version: chunk.version });
    transaction.changes.push({ put: keys.chunk(job.id, chunk.index), value });
    transaction.parts.push({ job, chunk, attempts: [...chunk.attempts.values()], done: chunk.done.slice() });
    bytes += size;
    return true;
  };

  const urgent: [Job, Chunk][] = [];
  const finals: Job[] = [];
  const lazy: [Job, Chunk][] = [];
  for (const job of jobs) {
    if (job.canFinalize) {
      finals.push(job);
      continue;
    }
    for (const chunk of job.chunks.values()) {
      if (chunk.isUrgent) urgent.push([job, chunk]);
      else if (chunk.isDirty) lazy.push([job, chunk]);
    }
  }
  urgent.sort((a, b) => b[0].spec.priority - a[0].spec.priority);
  for (const [job, chunk] of urgent) if (!addChunk(job, chunk)) break;
  for (const job of finals) {
    const written = [...job.chunks.values()].filter((c) => c.version > 0);
    // Few chunks go in the same transaction; those of a huge job are swept up afterwards.
    const now = written.length <= 4 ? written : [];
    if (!fits(2 + now.length, 400)) break;
    transaction.conditions.push(
      { key: keys.head(job.id), version: job.headVersion },
      { key: keys.final(job.id), version: 0 },
    );
    transaction.changes.push(
      {
        put: keys.final(job.id),
        value: encodeFinal({ isCancelled: job.isCancelled, tasks: job.spec.tasks }),
      },
      { delete: keys.head(job.id) },
    );
    for (const chunk of now) {
      transaction.conditions.push({ key: keys.chunk(job.id, chunk.index), version: chunk.version });
      transaction.changes.push({ delete: keys.chunk(job.id, chunk.index) });
    }
    transaction.parts.push({ job, chunk: null, attempts: [], done: null });
    bytes += 400 + now.length * 120;
  }
  for (const [job, chunk] of lazy.slice(0, limits.deferredChanges)) if (!addChunk(job, chunk)) break;
  for (const [key, version] of garbage) {
    if (transaction.changes.length >= Math.max(1, limits.changes >> 1) || !fits(1, 120)) break;
    transaction.conditions.push({ key, version });
    transaction.changes.push({ delete: key });
    transaction.obsoleteKeys.push(key);
  }
  return transaction;
}
