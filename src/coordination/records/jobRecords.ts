/** Applies the stored records of jobs to the leader's registry of live jobs. */
import { newStopRequest } from "../../bookkeeping/stopRequest.js";
import { unsentAttempt } from "../../bookkeeping/unsentAttempt.js";
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
import type { KnownZones } from "../../bookkeeping/knownZones.js";
import type { Item } from "../../bookkeeping/stateStoreClient.js";
import type { ObsoleteKeys, Transaction } from "../../bookkeeping/transaction.js";
import { UNKNOWN_ZONE } from "../../protocol/model.js";
import type { Clock } from "../../transport/clock.js";
import { log } from "../../transport/log.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { Attempts } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { MachineRegistry } from "../term/machineRegistry.js";

/** The parts of the term that `JobRecords` uses. */
export interface JobRecordsContext {
  clock: Clock;
  jobs: JobRegistry;
  machines: MachineRegistry;
  attempts: Attempts;
  estimates: Estimates;
  /** Called when a job has been removed from the registry, so that other state kept for it can be dropped. */
  onJobRemoved: (id: string) => void;
}

/** Applies the records of live jobs to the registry, and owns the set of keys that no live job needs any more. */
export class JobRecords {
  /** Keys to delete from the state store together with other writes, and their versions. */
  readonly obsoleteKeys: ObsoleteKeys = new Map();

  constructor(private readonly context: JobRecordsContext) {}

  /** Applies a job's head: adds a new job, or cancels a known one. A version older than the known one is ignored. */
  applyHead(item: Item): void {
    const id = jobIdOfHeadKey(item.key);
    const head = decodeHead(item.value);
    if (!head || head.spec.id !== id) {
      logUndecodable(item.key);
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

  /** Applies a chunk that was read when the term began; the key of a chunk without a live job becomes obsolete. */
  loadChunk(item: Item, zones: KnownZones): void {
    const { id, index } = parseChunkKey(item.key);
    const job = this.context.jobs.get(id);
    if (!job) {
      this.obsoleteKeys.set(item.key, item.version);
      return;
    }
    const record = decodeChunk(item.value, zones);
    if (!record || !Number.isInteger(index)) {
      logUndecodable(item.key);
      return;
    }
    job.loadChunk(index, record, item.version);
    for (const entry of record.attempts)
      if (!job.isDone(entry.task)) this.context.attempts.attach(this.inheritedAttempt(job, entry));
  }

  /**
   * Builds an attempt of an earlier leader. It may be running, or its start command may still be in flight, so it holds
   * resources and quota until it is confirmed gone.
   */
  private inheritedAttempt(job: Job, entry: AttemptRecord): Attempt {
    const nowMs = this.context.clock.nowMs();
    const machine = this.context.machines.getOrCreateRecorded(entry.machine, entry.zone);
    // The machine's records contradict each other, and its worker has not reported yet.
    if (machine.state === "booting" && machine.zone !== entry.zone) machine.zone = UNKNOWN_ZONE;
    const attempt = unsentAttempt({ job, task: entry.task, number: entry.attempt, machine }, nowMs);
    attempt.isDurable = true;
    attempt.isInherited = true;
    if (job.isCancelled) attempt.stop = newStopRequest(nowMs, 0);
    return attempt;
  }

  /**
   * Removes a job whose final record is stored. The keys of its chunks become obsolete, except those that `transaction`
   * has deleted; `transaction` is null if the final record was found by a read, and then all of them become obsolete.
   */
  removeFinalized(job: Job, transaction: Transaction | null): void {
    const deletedKeys = new Set(
      (transaction?.changes ?? []).map((change) => ("delete" in change ? change.delete : "")),
    );
    for (const chunk of job.chunks.values()) {
      const key = keys.chunk(job.id, chunk.index);
      if (chunk.version > 0 && !deletedKeys.has(key)) this.obsoleteKeys.set(key, chunk.version);
    }
    this.context.jobs.remove(job.id);
    this.context.onJobRemoved(job.id);
  }

  /** Applies a chunk key's version as read after a conflict; 0 means that the key does not exist. */
  applyChunkVersion(key: string, version: number): void {
    const { id, index } = parseChunkKey(key);
    const chunk = this.context.jobs.get(id)?.chunks.get(index);
    if (chunk) chunk.version = version;
    if (!this.obsoleteKeys.has(key)) return;
    if (version > 0) this.obsoleteKeys.set(key, version);
    else this.obsoleteKeys.delete(key);
  }
}

function logUndecodable(key: string): void {
  log.error(`record ${key} skipped: its value is not a valid record for this key`);
}
