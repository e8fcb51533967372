/** The term's only writer of attempts, results and final records; it writes each intent before its command is sent. */
import type { Job, Machine } from "../../bookkeeping/workload.js";
import { decodeFinal, jobIdOfKey, keys } from "../../bookkeeping/records.js";
import type {
  CompareAndSwapOutcome,
  Item,
  ReadOutcome,
  StateStoreClient,
} from "../../bookkeeping/stateStoreClient.js";
import {
  composeTransaction,
  type ChunkPart,
  type TransactionLimits,
  type TransactionPart,
} from "../../bookkeeping/transaction.js";
import { encodeMachineTypes } from "../../protocol/cloud.js";
import type { Clock } from "../../transport/clock.js";
import type { ConsolidationRounds } from "../consolidation/consolidationRounds.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { CommandQueue } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { TermLease } from "../term/termLease.js";
import { DEFERRED_WRITE_MS, type WriteQueue } from "../term/writeQueue.js";
import type { JobRecords } from "./jobRecords.js";
import type { LeaderTransaction, RecordMessage } from "./recordMessages.js";
import type { SingletonRecords } from "./singletonRecords.js";

/** Key changes within the write rate that deferred results leave free for starts and for jobs accepted elsewhere. */
const DEFERRED_WRITE_RESERVE = 8;
/** Minimum number of changes for which a transaction is composed, even if the write rate currently allows fewer. */
const MIN_CHANGES = 4;
const MAX_TRANSACTION_BYTES = 60 * 1024;
const WRITE_TIMEOUT_MS = 2000;
/** Timeout for reading one key after a conflict. */
const REREAD_TIMEOUT_MS = 2000;
/** Minimum wait when the write rate currently allows no change. */
const RATE_LIMIT_PAUSE_MS = 10;
/** Minimum wait when the write rate allows fewer changes than the next urgent write needs. */
const LARGE_WRITE_PAUSE_MS = 50;
/** Number of changes that the write rate must allow before an urgent write that exceeded it is attempted again. */
const LARGE_WRITE_CHANGES = 8;
/** Pause before a write is retried after a conflict that names no keys. */
const CONFLICT_RETRY_MS = 100;
/** Pause before a write is retried that was not executed or whose outcome is unknown. */
const WRITE_RETRY_MS = 150;
/** Pause before a failed read of a key is retried. */
const REREAD_RETRY_MS = 200;

/** The parts of the term that the writer uses. */
export interface RecordWriterContext {
  clock: Clock;
  lease: TermLease;
  stateStore: StateStoreClient;
  jobs: JobRegistry;
  estimates: Estimates;
  commands: CommandQueue;
  rounds: ConsolidationRounds;
  queue: WriteQueue;
  jobRecords: JobRecords;
  singletons: SingletonRecords;
  /** Maximum number of changes that the state store accepts in one transaction. */
  maxTransactionChanges: number;
  /** Posts a message to the leader's mailbox. */
  post: (message: RecordMessage) => void;
  /** Called with this leader's term when a write shows that a later term has begun. */
  onDeposed: (term: number) => void;
}

/**
 * Writes pending changes, one transaction at a time, and triggers the commands that wait for it: no command is sent
 * before its intent is durable. After a conflict, the writer reads the conflicting keys again and retries the write.
 */
export class RecordWriter {
  /** Whether a write became due while the leader was not allowed to write. */
  private isBlocked = false;
  /** Keys that are being read again after a conflict. */
  private readonly keysBeingReread = new Set<string>();

  constructor(private readonly context: RecordWriterContext) {}

  /**
   * Requests the write that an outage prevented. The write must not wait for the next change: if all work was planned
   * during the outage, no further change follows, and the planned starts would never be sent (docs/incidents/held-back.md).
   */
  resume(): void {
    if (!this.isBlocked) return;
    this.isBlocked = false;
    this.context.queue.requestWrite(0);
  }

  /** Composes and sends the write that is due, or postpones it if the write rate is exhausted. */
  writePendingChanges(): void {
    this.context.queue.clearRequest();
    const { lease, queue, stateStore } = this.context;
    if (!lease.isLoaded || queue.isWriting) return;
    if (!lease.mayWrite()) {
      this.isBlocked = true;
      return;
    }
    const availableChanges = stateStore.availableWrites();
    if (availableChanges < 1) {
      queue.requestWrite(Math.max(RATE_LIMIT_PAUSE_MS, stateStore.writeWaitMs(1)));
      return;
    }
    const transaction = this.compose(availableChanges);
    if (transaction.changes.length > 0) this.write(transaction);
    // The transaction is empty when the urgent write needs more changes than the write rate currently allows.
    else if (this.hasUrgentChange())
      queue.requestWrite(Math.max(LARGE_WRITE_PAUSE_MS, stateStore.writeWaitMs(LARGE_WRITE_CHANGES)));
  }

  private compose(availableChanges: number): LeaderTransaction {
    const { jobs, jobRecords, lease, maxTransactionChanges } = this.context;
    const limits: TransactionLimits = {
      changes: Math.min(maxTransactionChanges, Math.max(availableChanges, MIN_CHANGES)),
      deferredChunks: Math.max(1, availableChanges - DEFERRED_WRITE_RESERVE),
      bytes: MAX_TRANSACTION_BYTES,
    };
    const transaction: LeaderTransaction = {
      ...composeTransaction(jobs.values(), jobRecords.obsoleteKeys, lease.termVersion, limits),
      moves: null,
      writesMachineTypes: false,
    };
    if (transaction.changes.length < limits.changes) this.addMoves(transaction);
    if (transaction.changes.length < limits.changes) this.addMachineTypes(transaction);
    return transaction;
  }

  /** Adds all moves of a round, which are written together before any of them begins. */
  private addMoves(transaction: LeaderTransaction): void {
    const moves = this.context.rounds.plannedMoves;
    if (!moves) return;
    transaction.conditions.push({ key: keys.moves, version: this.context.singletons.movesVersion });
    transaction.changes.push({ put: keys.moves, value: { term: this.context.lease.term, moves } });
    transaction.moves = moves;
  }

  private addMachineTypes(transaction: LeaderTransaction): void {
    const { singletons, estimates } = this.context;
    if (!singletons.hasUnwrittenTypes) return;
    transaction.conditions.push({ key: keys.types, version: singletons.typesVersion });
    transaction.changes.push({ put: keys.types, value: encodeMachineTypes(estimates.types) });
    transaction.writesMachineTypes = true;
  }

  private write(transaction: LeaderTransaction): void {
    const { clock, queue, stateStore, post } = this.context;
    queue.beginWrite();
    for (const part of transaction.parts) {
      if (part.kind !== "chunk") continue;
      part.chunk.isDirty = false;
      part.chunk.isUrgent = false;
    }
    void stateStore
      .compareAndSwap(transaction.conditions, transaction.changes, clock.nowMs() + WRITE_TIMEOUT_MS)
      .then((outcome) => post({ kind: "committed", transaction, outcome }));
  }

  /** Applies the outcome of a write, and schedules a retry if the write was not executed. */
  applyWriteOutcome(transaction: LeaderTransaction, outcome: CompareAndSwapOutcome): void {
    const { queue } = this.context;
    queue.endWrite();
    if (outcome.kind === "ok") {
      this.applyDurable(transaction, outcome.revision);
      queue.requestWrite(this.hasUrgentChange() ? 0 : DEFERRED_WRITE_MS);
      return;
    }
    for (const part of transaction.parts) markUnwritten(part);
    if (outcome.kind === "conflict") this.resolveConflict(outcome.failed);
    // A retry after an unknown outcome is safe: its conditions fail if the write has already been executed.
    else queue.requestWrite(WRITE_RETRY_MS);
  }

  private resolveConflict(failedKeys: string[]): void {
    if (failedKeys.includes(keys.term)) {
      this.context.onDeposed(this.context.lease.term);
      return;
    }
    for (const key of failedKeys) this.rereadKey(key);
    if (failedKeys.length === 0) this.context.queue.requestWrite(CONFLICT_RETRY_MS);
  }

  private hasUrgentChange(): boolean {
    for (const job of this.context.jobs.values()) {
      if (job.canFinalize) return true;
      for (const chunk of job.chunks.values()) if (chunk.isUrgent) return true;
    }
    return this.context.rounds.plannedMoves !== null;
  }

  private applyDurable(transaction: LeaderTransaction, revision: number): void {
    const { commands, rounds, singletons, jobRecords } = this.context;
    const machines = new Set<Machine>();
    for (const key of transaction.obsoleteKeys) jobRecords.obsoleteKeys.delete(key);
    for (const part of transaction.parts) {
      if (part.kind === "chunk") applyDurableChunk(part, revision, machines);
      else jobRecords.removeFinalized(part.job, transaction);
    }
    if (transaction.moves) {
      singletons.movesVersion = revision;
      if (rounds.plannedMoves === transaction.moves) rounds.beginMoves();
    }
    if (transaction.writesMachineTypes) {
      singletons.typesVersion = revision;
      singletons.hasUnwrittenTypes = false;
    }
    for (const machine of machines) commands.sendCommands(machine);
  }

  private rereadKey(key: string): void {
    if (this.keysBeingReread.has(key)) return;
    this.keysBeingReread.add(key);
    const { clock, stateStore, post } = this.context;
    void stateStore
      .get(key, clock.nowMs() + REREAD_TIMEOUT_MS)
      .then((outcome) => post({ kind: "reread", key, outcome }));
  }

  /**
   * Applies the outcome of reading a key on which a write's condition failed. Only this leader's own writes of unknown
   * outcome and user cancellations can have changed such a key.
   */
  applyRereadOutcome(key: string, outcome: ReadOutcome): void {
    this.keysBeingReread.delete(key);
    if (outcome.kind === "failed") {
      this.context.clock.after(REREAD_RETRY_MS, () => {
        if (!this.context.lease.isOver) this.rereadKey(key);
      });
      return;
    }
    this.applyItem(key, outcome.kind === "found" ? outcome.item : null);
    if (this.keysBeingReread.size === 0) this.context.queue.requestWrite(0);
  }

  /** Applies the state of a reread key; `item` is null if the key does not exist. */
  private applyItem(key: string, item: Item | null): void {
    const { jobs, jobRecords, singletons } = this.context;
    const version = item?.version ?? 0;
    if (key === keys.types) singletons.typesVersion = version;
    else if (key === keys.moves) singletons.movesVersion = version;
    else if (key.startsWith(keys.chunkPrefix)) jobRecords.applyChunkVersion(key, version);
    else {
      const job = jobs.get(jobIdOfKey(key));
      if (job) this.applyRereadJobItem(job, key, item);
    }
  }

  /** Applies a reread head, which may hold a cancellation; if the head is gone, reads and applies the final record. */
  private applyRereadJobItem(job: Job, key: string, item: Item | null): void {
    if (key === keys.head(job.id)) {
      if (item) this.context.jobRecords.applyHead(item);
      else this.rereadKey(keys.final(job.id));
    } else if (key === keys.final(job.id) && item && decodeFinal(item.value))
      this.context.jobRecords.removeFinalized(job, null);
  }
}

/** Marks the written state of a chunk as durable, and adds the machines whose start commands may now be sent. */
function applyDurableChunk(part: ChunkPart, revision: number, machines: Set<Machine>): void {
  part.chunk.version = revision;
  part.chunk.durablyDone = part.done;
  for (const attempt of part.attempts) {
    if (attempt.isDurable) continue;
    attempt.isDurable = true;
    if (attempt.machine.attempts.has(attempt)) machines.add(attempt.machine);
  }
}

/** Marks the chunk of a failed write as unwritten again, and as urgent if it holds attempts that are not durable. */
function markUnwritten(part: TransactionPart): void {
  if (part.kind !== "chunk") return;
  const { chunk } = part;
  chunk.isDirty = true;
  if ([...chunk.attempts.values()].some((attempt) => !attempt.isDurable)) chunk.isUrgent = true;
}
