import type { Job, Machine } from "../../bookkeeping/workload.js";
import { decodeFinal, keys } from "../../bookkeeping/records.js";
import type { CompareAndSwapOutcome, Item, StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import {
  composeTransaction,
  type Transaction,
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
import type { RecordMessage } from "./recordMessages.js";
import type { SingletonRecords } from "./singletonRecords.js";

/** Changes in a second that results leave to others: to starts, and to what other controllers accept. */
const DEFERRED_WRITE_RESERVE = 8;
/** Fewest changes that a transaction is composed for when the write rate leaves less room at the moment. */
const MIN_CHANGES = 4;
const MAX_TRANSACTION_BYTES = 60 * 1024;
/** So long a write, or the reading of one key, may take. */
const WRITE_MS = 2000;
const REREAD_MS = 2000;
/** Pauses: for room in the write rate, for room for a large change, after a conflict, a refusal and a failed reading. */
const ROOM_PAUSE_MS = 10;
const LARGE_CHANGE_PAUSE_MS = 50;
/** Changes that a large one waits for in the write rate. */
const LARGE_CHANGE_ROOM = 8;
const CONFLICT_PAUSE_MS = 100;
const REFUSED_PAUSE_MS = 150;
const RETRY_REREAD_MS = 200;

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
 * Writes what has changed, one transaction at a time, and does what had to wait until it is durable: intent before
 * command. A failed compare-and-swap is answered by reading what stands there.
 */
export class RecordWriter {
  /** Something waited when the leader might not write. */
  private blocked = false;
  private readonly rereading = new Set<string>();

  constructor(private readonly context: RecordWriterContext) {}

  /**
   * Writes what an outage held back. Left to the next change, starts planned in an outage were never sent when all work
   * had its plan already: nothing changed any more, and the jobs waited for ever (docs/incidents/held-back.md).
   */
  resume(): void {
    if (!this.blocked) return;
    this.blocked = false;
    this.context.queue.requestWrite(0);
  }

  /** A requested write is due. */
  writeDue(): void {
    this.context.queue.takeDue();
    const { lease, queue, stateStore } = this.context;
    if (!lease.isLoaded || queue.isWriting) return;
    if (!lease.mayWrite()) {
      this.blocked = true;
      return;
    }
    const room = stateStore.availableWrites();
    if (room < 1) {
      queue.requestWrite(Math.max(ROOM_PAUSE_MS, stateStore.writeWaitMs(1)));
      return;
    }
    const transaction = this.compose(room);
    if (transaction.changes.length > 0) this.write(transaction);
    // What is pressing may just be larger than what may be written at the moment.
    else if (this.hasUrgentChange())
      queue.requestWrite(Math.max(LARGE_CHANGE_PAUSE_MS, stateStore.writeWaitMs(LARGE_CHANGE_ROOM)));
  }

  private compose(room: number): Transaction {
    const { jobs, jobRecords, lease, transactionChanges } = this.context;
    const limits: TransactionLimits = {
      changes: Math.min(transactionChanges, Math.max(room, MIN_CHANGES)),
      deferredChanges: Math.max(1, room - DEFERRED_WRITE_RESERVE),
      bytes: MAX_TRANSACTION_BYTES,
    };
    const transaction = composeTransaction(jobs.values(), jobRecords.obsoleteKeys, lease.termVersion, limits);
    if (transaction.changes.length < limits.changes) this.addMoves(transaction);
    if (transaction.changes.length < limits.changes) this.addMachineTypes(transaction);
    return transaction;
  }

  /** A round's moves go in one write, before any of them begins. */
  private addMoves(transaction: Transaction): void {
    const moves = this.context.rounds.plannedMoves;
    if (!moves) return;
    transaction.conditions.push({ key: keys.moves, version: this.context.singletons.movesVersion });
    transaction.changes.push({ put: keys.moves, value: { term: this.context.lease.term, moves } });
    transaction.moves = moves;
  }

  private addMachineTypes(transaction: Transaction): void {
    const { singletons, estimates } = this.context;
    if (!singletons.typesDirty) return;
    transaction.conditions.push({ key: keys.types, version: singletons.typesVersion });
    transaction.changes.push({ put: keys.types, value: encodeMachineTypes(estimates.types) });
    transaction.types = true;
  }

  private write(transaction: Transaction): void {
    const { clock, queue, stateStore, tell } = this.context;
    queue.writeBegun();
    for (const { chunk } of transaction.parts) {
      if (!chunk) continue;
      chunk.isDirty = false;
      chunk.isUrgent = false;
    }
    void stateStore
      .compareAndSwap(transaction.conditions, transaction.changes, clock.nowMs() + WRITE_MS)
      .then((outcome) => tell({ kind: "committed", transaction, outcome }));
  }

  /** The outcome of a write is known. */
  committed(transaction: Transaction, outcome: CompareAndSwapOutcome): void {
    const { queue } = this.context;
    queue.writeEnded();
    if (outcome.kind === "ok") {
      this.applyDurable(transaction, outcome.revision);
      queue.requestWrite(this.hasUrgentChange() ? 0 : DEFERRED_WRITE_MS);
      return;
    }
    for (const part of transaction.parts) markUnwritten(part);
    if (outcome.kind === "conflict") this.resolveConflict(outcome.failed);
    // Refused, or unknown: the guards make it harmless to try again; a conflict then tells what had happened.
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

  private applyDurable(transaction: Transaction, revision: number): void {
    const { commands, rounds, singletons, jobRecords } = this.context;
    const machines = new Set<Machine>();
    for (const key of transaction.obsoleteKeys) jobRecords.obsoleteKeys.delete(key);
    for (const part of transaction.parts) {
      if (part.chunk) applyDurableChunk(part, revision, machines);
      else jobRecords.removeFinalized(part.job, transaction);
    }
    if (transaction.moves) {
      singletons.movesVersion = revision;
      if (rounds.plannedMoves === transaction.moves) rounds.beginMoves();
    }
    if (transaction.types) {
      singletons.typesVersion = revision;
      singletons.typesDirty = false;
    }
    for (const machine of machines) commands.sendCommands(machine);
  }

  private rereadKey(key: string): void {
    if (this.rereading.has(key)) return;
    this.rereading.add(key);
    const { clock, stateStore, tell } = this.context;
    void stateStore.get(key, clock.nowMs() + REREAD_MS).then((outcome) => {
      const item = outcome.kind === "found" ? outcome.item : null;
      tell({ kind: "reread", key, item, ok: outcome.kind !== "failed" });
    });
  }

  /** A guard failed: takes over what stands there. Only our own unanswered writes and users' cancellations can be the cause. */
  reread(key: string, item: Item | null, ok: boolean): void {
    this.rereading.delete(key);
    if (!ok) {
      this.context.clock.after(RETRY_REREAD_MS, () => {
        if (!this.context.lease.isOver) this.rereadKey(key);
      });
      return;
    }
    this.applyReread(key, item);
    if (this.rereading.size === 0) this.context.queue.requestWrite(0);
  }

  private applyReread(key: string, item: Item | null): void {
    const { jobs, jobRecords, singletons } = this.context;
    const version = item?.version ?? 0;
    if (key === keys.types) singletons.typesVersion = version;
    else if (key === keys.moves) singletons.movesVersion = version;
    else if (key.startsWith(keys.chunks)) jobRecords.applyChunkVersion(key, version);
    else {
      const job = jobs.get(key.split("/")[1] ?? "");
      if (job) this.rereadJob(job, key, item);
    }
  }

  /** The head, or else the final record, of a job that a write found changed. */
  private rereadJob(job: Job, key: string, item: Item | null): void {
    if (key === keys.head(job.id)) {
      if (item) this.context.jobRecords.applyHead(item);
      else this.rereadKey(keys.final(job.id));
    } else if (key === keys.final(job.id) && item && decodeFinal(item.value))
      this.context.jobRecords.removeFinalized(job, null);
  }
}

/** What the chunk holds is durable: starts in it may be sent to these machines. */
function applyDurableChunk(part: TransactionPart, revision: number, machines: Set<Machine>): void {
  const chunk = part.chunk!;
  chunk.version = revision;
  chunk.durablyDone = part.done!;
  for (const attempt of part.attempts) {
    if (attempt.isDurable) continue;
    attempt.isDurable = true;
    if (attempt.machine.attempts.has(attempt)) machines.add(attempt.machine);
  }
}

/** The write failed: what it held still has to be written, and planned attempts in it still wait. */
function markUnwritten({ chunk }: TransactionPart): void {
  if (!chunk) return;
  chunk.isDirty = true;
  if ([...chunk.attempts.values()].some((attempt) => !attempt.isDurable)) chunk.isUrgent = true;
}
