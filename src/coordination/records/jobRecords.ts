import { Job, type Attempt } from "../../bookkeeping/workload.js";
import { decodeChunk, decodeHead, keys, type ChunkRecord } from "../../bookkeeping/records.js";
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
  readonly obsoleteKeys: ObsoleteKeys = new Map();

  constructor(private readonly context: JobRecordsContext) {}

  /** A job's head as it stands in the state store: a new job, or a cancellation. */
  applyHead(item: Item): void {
    const id = item.key.slice(keys.live.length);
    const head = decodeHead(item.value);
    if (!head || head.spec.id !== id) {
      logUnreadable(item.key);
      return;
    }
    const { clock, jobs, attempts, estimates } = this.context;
    const job = jobs.get(id);
    if (job) {
      if (item.version < job.headVersion) return;
      job.headVersion = item.version;
      if (head.cancelledAt !== null && !job.isCancelled) attempts.cancelJob(job, head.cancelledAt);
      return;
    }
    const ageMs = Math.max(0, clock.wallTime().getTime() - head.acceptedAt.getTime());
    estimates.recordAcceleratorJob(head.spec);
    jobs.add(Job.fromHead(head, item.version, clock.nowMs() - ageMs));
  }

  /** A chunk of a job's tasks, read when the term begins. */
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

  /** It may be there, or its start may still be on the way: it holds place and quota until proved gone. */
  private inheritedAttempt(job: Job, entry: ChunkRecord["attempts"][number]): Attempt {
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

  /** The job is among the final ones. Chunks that the transaction did not delete are left to later ones. */
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

  /** A chunk's key stands at that version now (0: it is gone), as a failed write has shown. */
  applyChunkVersion(key: string, version: number): void {
    const { id, index } = parseChunkKey(key);
    const chunk = this.context.jobs.get(id)?.chunks.get(index);
    if (chunk) chunk.version = version;
    if (!this.obsoleteKeys.has(key)) return;
    if (version > 0) this.obsoleteKeys.set(key, version);
    else this.obsoleteKeys.delete(key);
  }
}

function parseChunkKey(key: string): { id: string; index: number } {
  const [, id, index] = key.split("/");
  return { id: id ?? "", index: Number(index) };
}

function logUnreadable(key: string): void {
  log.error(`record ${key} can't be read`);
}
