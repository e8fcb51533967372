/** Connects stored records of jobs with the registry of live jobs. */
import { Job, type Attempt } from "../../bookkeeping/workload.js";
import {
  decodeChunk,
  decodeHead,
  jobIdOfHeadKey,
  keys,
  parseChunkKey,
  type AttemptRecord,
  type JobHead,
} from "../../bookkeeping/records.js";
import type { Item } from "../../bookkeeping/stateStoreClient.js";
import type { ObsoleteKeys, Transaction } from "../../bookkeeping/transaction.js";
import type { Clock } from "../../transport/clock.js";
import { log } from "../../transport/log.js";
import type { Estimates } from "../scheduling/estimates.js";
import { newStopRequest, type Attempts } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { MachineRegistry } from "../term/machineRegistry.js";

/** What the records of jobs are applied to. */
export interface JobRecordsContext {
  clock: Clock;
  jobs: JobRegistry;
  machines: MachineRegistry;
  attempts: Attempts;
  estimates: Estimates;
  /** A job has left the registry: nothing is kept for it any longer. */
  onJobRemoved: (id: string) => void;
}

/** Applies the records of live jobs to the registry, and owns the list of keys that no live job needs any more. */
export class JobRecords {
  /** To be deleted from the state store, along with other writes. */
  readonly obsoleteKeys: ObsoleteKeys = new Map();

  constructor(private readonly context: JobRecordsContext) {}

  /** A job's head as the state store holds it: adds a new job, or cancels a known one. An older version changes nothing. */
  applyHead(item: Item): void {
    const id = jobIdOfHeadKey(item.key);
    const head = decodeHead(item.value);
    if (!head || head.spec.id !== id) {
      logUnreadable(item.key);
      return;
    }
    const job = this.context.jobs.get(id);
    if (job) this.updateJob(job, head, item.version);
    else this.addJob(head, item.version);
  }

  private updateJob(job: Job, head: JobHead, version: number): void {
    if (version < job.headVersion) return;
    job.headVersion = version;
    if (head.cancelledAt !== null && !job.isCancelled) this.context.attempts.cancelJob(job, head.cancelledAt);
  }

  private addJob(head: JobHead, version: number): void {
    const { clock, jobs, estimates } = this.context;
    const ageMs = Math.max(0, clock.wallTime().getTime() - head.acceptedAt.getTime());
    estimates.recordAcceleratorJob(head.spec);
    jobs.add(Job.fromHead(head, version, clock.nowMs() - ageMs));
  }

  /** A chunk of a job's tasks, read when the term begins. One without a live job is obsolete. */
  loadChunk(item: Item): void {
    const { id, index } = parseChunkKey(item.key);
    const job = this.context.jobs.get(id);
    if (!job) {
      this.obsoleteKeys.set(item.key, item.version);
      return;
    }
    const record = decodeChunk(item.value);
    if (!record || !Number.isInteger(index)) {
      logUnreadable(item.key);
      return;
    }
    job.load(index, record, item.version);
    for (const entry of record.attempts)
      if (!job.isDone(entry.task)) this.context.attempts.attach(this.inheritedAttempt(job, entry));
  }

  /**
   * An earlier leader's attempt: it may run, or its start may still be in flight, so it holds resources and quota until
   * it is proved gone.
   */
  private inheritedAttempt(job: Job, entry: AttemptRecord): Attempt {
    const nowMs = this.context.clock.nowMs();
    return {
      job,
      task: entry.task,
      number: entry.attempt,
      machine: this.context.machines.getOrCreate(entry.machine, entry.zone),
      isDurable: true,
      isInherited: true,
      sentToken: -1,
      sentEpoch: 0,
      sentMs: -Infinity,
      phase: null,
      plannedMs: nowMs,
      runningMs: null,
      stop: job.isCancelled ? newStopRequest(nowMs, 0) : null,
    };
  }

  /**
   * The job is among the final ones. Its chunks are obsolete but for those that the transaction has deleted; null: its
   * move was found done, and all of them are.
   */
  removeFinalized(job: Job, transaction: Transaction | null): void {
    const deleted = new Set(
      (transaction?.changes ?? []).map((change) => ("delete" in change ? change.delete : "")),
    );
    for (const chunk of job.chunks.values()) {
      const key = keys.chunk(job.id, chunk.index);
      if (chunk.version > 0 && !deleted.has(key)) this.obsoleteKeys.set(key, chunk.version);
    }
    this.context.jobs.remove(job.id);
    this.context.onJobRemoved(job.id);
  }

  /** A chunk's key has that version in the state store (0: it does not exist), as a read after a conflict has shown. */
  applyChunkVersion(key: string, version: number): void {
    const { id, index } = parseChunkKey(key);
    const chunk = this.context.jobs.get(id)?.chunks.get(index);
    if (chunk) chunk.version = version;
    if (!this.obsoleteKeys.has(key)) return;
    if (version > 0) this.obsoleteKeys.set(key, version);
    else this.obsoleteKeys.delete(key);
  }
}

function logUnreadable(key: string): void {
  log.error(`record ${key} can't be read`);
}
