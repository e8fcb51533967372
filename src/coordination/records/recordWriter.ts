/** The term's only writer of attempts, results and final records. Guards the order of intent before command. */
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

/** Changes of the write rate that results leave to starts, and to the jobs that other controllers accept. */
const DEFERRED_WRITE_RESERVE = 8;
/** Fewest changes that a transaction is composed for when the write rate allows fewer at the moment. */
const MIN_CHANGES = 4;
const MAX_TRANSACTION_BYTES = 60 * 1024;
/** Timeouts of a write, and of the reading of one key. */
const WRITE_TIMEOUT_MS = 2000;
const REREAD_TIMEOUT_MS = 2000;
/** Shortest wait when the write rate allows no change at the moment. */
const RATE_LIMIT_PAUSE_MS = 10;
/** Shortest wait when it allows fewer changes than the next urgent write takes, and the changes that are waited for. */
const LARGE_WRITE_PAUSE_MS = 50;
const LARGE_WRITE_CHANGES = 8;
/** Pauses before the next write after a conflict without keys, and after a refusal. */
const CONFLICT_PAUSE_MS = 100;
const REFUSED_PAUSE_MS = 150;
/** Pause before a key that could not be read is read again. */
const REREAD_RETRY_MS = 200;

/** What the writer uses of the term. */
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
  /** Changes that the state store takes in one transaction. */
  transactionChanges: number;
  tell: (message: RecordMessage) => void;
  /** A later term has begun. */
  onDeposed: (term: number) => void;
}

/**
 * Writes what has changed, one transaction at a time, and starts what had to wait until it is durable: no command is
 * sent before its intent is written. After a conflict the conflicting keys are read again, and then the write is repeated.
 */
export class RecordWriter {
  /** A write was due while the leader was not allowed to write. */
  private isBlocked = false;
  /** Keys that are being read again after a conflict. */
  private readonly keysBeingReread = new Set<string>();

  constructor(private readonly context: RecordWriterContext) {}

  /**
   * Requests the write that an outage prevented. It must not wait for the next change: when all work had been planned in
   * the outage, there was none, and the planned starts were never sent (docs/incidents/held-back.md).
   */
  resume(): void {
    if (!this.isBlocked) return;
    this.isBlocked = false;
    this.context.queue.requestWrite(0);
  }

  /** A requested write is due: composes and sends it, or puts it off when the write rate is used up. */
  writeWaiting(): void {
    this.context.queue.takeDue();
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
    // An urgent write may take more changes than the write rate allows at the moment.
    else if (this.hasUrgentChange())
      queue.requestWrite(Math.max(LARGE_WRITE_PAUSE_MS, stateStore.writeWaitMs(LARGE_WRITE_CHANGES)));
  }

  private compose(availableChanges: number): LeaderTransaction {
    const { jobs, jobRecords, lease, transactionChanges } = this.context;
    const limits: TransactionLimits = {
      changes: Math.min(transactionChanges, Math.max(availableChanges, MIN_CHANGES)),
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

  /** A round's moves are written together, before any of them begins. */
  private addMoves(transaction: LeaderTransaction): void {
    const moves = this.context.rounds.plannedMoves;
    if (!moves) return;
    transaction.conditions.push({ key: keys.moves, version: this.context.singletons.movesVersion });
    transaction.changes.push({ put: keys.moves, value: { term: this.context.lease.term, moves } });
    transaction.moves = moves;
  }

  private addMachineTypes(transaction: LeaderTransaction): void {
    const { singletons, estimates } = this.context;
    if (!singletons.typesDirty) return;
    transaction.conditions.push({ key: keys.types, version: singletons.typesVersion });
    transaction.changes.push({ put: keys.types, value: encodeMachineTypes(estimates.types) });
    transaction.writesMachineTypes = true;
  }

  private write(transaction: LeaderTransaction): void {
    const { clock, queue, stateStore, tell } = this.context;
    queue.beginWrite();
    for (const part of transaction.parts) {
      if (part.kind !== "chunk") continue;
      part.chunk.isDirty = false;
      part.chunk.isUrgent = false;
    }
    void stateStore
      .compareAndSwap(transaction.conditions, transaction.changes, clock.nowMs() + WRITE_TIMEOUT_MS)
      .then((outcome) => tell({ kind: "committed", transaction, outcome }));
  }

  /** The outcome of a write is known: applies it, or sees to it that the write is repeated. */
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
    // Refused, or unknown: repeating it is harmless, as its conditions fail if it has been carried out already.
    else queue.requestWrite(REFUSED_PAUSE_MS);
  }

  private resolveConflict(failedKeys: string[]): void {
    if (failedKeys.includes(keys.term)) {
      this.context.onDeposed(this.context.lease.term);
      return;
    }
    for (const key of failedKeys) this.rereadKey(key);
    if (failedKeys.length === 0) this.context.queue.requestWrite(CONFLICT_PAUSE_MS);
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
      singletons.typesDirty = false;
    }
    for (const machine of machines) commands.sendCommands(machine);
  }

  private rereadKey(key: string): void {
    if (this.keysBeingReread.has(key)) return;
    this.keysBeingReread.add(key);
    const { clock, stateStore, tell } = this.context;
    void stateStore
      .get(key, clock.nowMs() + REREAD_TIMEOUT_MS)
      .then((outcome) => tell({ kind: "reread", key, outcome }));
  }

  /**
   * A key that a write's condition failed on has been read: takes its state over. Only this leader's own writes of unknown
   * outcome and users' cancellations can have changed it.
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

  /** `item`: null when the key does not exist. */
  private applyItem(key: string, item: Item | null): void {
    const { jobs, jobRecords, singletons } = this.context;
    const version = item?.version ?? 0;
    if (key === keys.types) singletons.typesVersion = version;
    else if (key === keys.moves) singletons.movesVersion = version;
    else if (key.startsWith(keys.chunks)) jobRecords.applyChunkVersion(key, version);
    else {
      const job = jobs.get(jobIdOfKey(key));
      if (job) this.rereadJob(job, key, item);
    }
  }

  /** The head of a job has changed: a cancellation, or, when it is gone, the job's move to the final ones. */
  private rereadJob(job: Job, key: string, item: Item | null): void {
    if (key === keys.head(job.id)) {
      if (item) this.context.jobRecords.applyHead(item);
      else this.rereadKey(keys.final(job.id));
    } else if (key === keys.final(job.id) && item && decodeFinal(item.value))
      this.context.jobRecords.removeFinalized(job, null);
  }
}

/** The chunk is durable: its starts may be sent, and their machines are added to `machines`. */
function applyDurableChunk(part: ChunkPart, revision: number, machines: Set<Machine>): void {
  part.chunk.version = revision;
  part.chunk.durablyDone = part.done;
  for (const attempt of part.attempts) {
    if (attempt.isDurable) continue;
    attempt.isDurable = true;
    if (attempt.machine.attempts.has(attempt)) machines.add(attempt.machine);
  }
}

/** The write failed: what it held still has to be written, and the planned attempts in it still wait for that. */
function markUnwritten(part: TransactionPart): void {
  if (part.kind !== "chunk") return;
  const { chunk } = part;
  chunk.isDirty = true;
  if ([...chunk.attempts.values()].some((attempt) => !attempt.isDurable)) chunk.isUrgent = true;
}
