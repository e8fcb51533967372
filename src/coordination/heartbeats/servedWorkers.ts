/** Tracks the workers that send their heartbeats to a heartbeat server. */
import type { Heartbeat } from "../../protocol/model.js";

/** A worker is removed after this long without a heartbeat; the leader keeps workers for longer. */
const FORGET_AFTER_MS = 60_000;
/** A worker counts as served here if its last heartbeat is younger than this many heartbeat intervals. */
const COUNTED_WITHIN_HEARTBEATS = 2.5;
/** A resync includes the workers whose last heartbeat is younger than this many heartbeat intervals. */
const RESYNC_WITHIN_HEARTBEATS = 4;

/** The newest heartbeat of a worker that was acknowledged here. */
export interface ServedWorker {
  readonly heartbeat: Heartbeat;
  /** When the heartbeat was received, in steady time. */
  readonly receivedMs: number;
}

/** Owns the newest acknowledged heartbeat of each worker. */
export class ServedWorkers {
  private readonly workers = new Map<string, ServedWorker>();
  private count = 0;

  constructor(
    /** Interval between a worker's heartbeats, in seconds. */
    private readonly heartbeatS: number,
  ) {}

  /** Number of workers with a recent heartbeat, as of the last call of `expire`. */
  get workerCount(): number {
    return this.count;
  }

  /** The newest acknowledged heartbeat of the machine's worker. */
  get(machine: string): Heartbeat | undefined {
    return this.workers.get(machine)?.heartbeat;
  }

  /** Stores a heartbeat that has just been acknowledged as its worker's newest. */
  record(heartbeat: Heartbeat, nowMs: number): ServedWorker {
    const worker: ServedWorker = { heartbeat, receivedMs: nowMs };
    this.workers.set(heartbeat.machine, worker);
    return worker;
  }

  /** Removes a worker that has been redirected to another controller. */
  forget(machine: string): void {
    this.workers.delete(machine);
  }

  /** Removes workers without a heartbeat for a long time, and counts those with a recent one. */
  expire(nowMs: number): void {
    const countedWithinMs = COUNTED_WITHIN_HEARTBEATS * 1000 * this.heartbeatS;
    this.count = 0;
    for (const [machine, worker] of this.workers) {
      const silentMs = nowMs - worker.receivedMs;
      if (silentMs > FORGET_AFTER_MS) this.workers.delete(machine);
      else if (silentMs < countedWithinMs) this.count++;
    }
  }

  /** The workers whose heartbeats a leader that does not know them must be sent in full. */
  *workersToResync(nowMs: number): Iterable<ServedWorker> {
    const withinMs = RESYNC_WITHIN_HEARTBEATS * 1000 * this.heartbeatS;
    for (const worker of this.workers.values()) if (nowMs - worker.receivedMs < withinMs) yield worker;
  }
}
