/** What a heartbeat server knows of the workers that send it their heartbeats. */
import type { Heartbeat } from "../../protocol/model.js";

/** A worker without a heartbeat for so long is forgotten here; the leader keeps more. */
const FORGET_AFTER_MS = 60_000;
/** A worker counts as served here if its last heartbeat is no older than so many times their interval. */
const COUNTED_WITHIN_HEARTBEATS = 2.5;
/** A resync names the workers whose last heartbeat is no older than so many times their interval. */
const RESYNC_WITHIN_HEARTBEATS = 4;

/** The newest heartbeat that was acknowledged here of a worker. */
export interface ServedWorker {
  readonly heartbeat: Heartbeat;
  readonly receivedMs: number;
}

/** Owns the newest acknowledged heartbeat of each worker. */
export class ServedWorkers {
  private readonly workers = new Map<string, ServedWorker>();
  private count = 0;

  constructor(
    /** Workers' time between heartbeats, in seconds. */
    private readonly heartbeatS: number,
  ) {}

  /** Workers that sent heartbeats lately, counted at the last `expire`. */
  get workerCount(): number {
    return this.count;
  }

  /** The newest acknowledged heartbeat of that machine's worker. */
  get(machine: string): Heartbeat | undefined {
    return this.workers.get(machine)?.heartbeat;
  }

  /** Keeps a heartbeat that has just been acknowledged as its worker's newest. */
  record(heartbeat: Heartbeat, nowMs: number): ServedWorker {
    const worker: ServedWorker = { heartbeat, receivedMs: nowMs };
    this.workers.set(heartbeat.machine, worker);
    return worker;
  }

  /** The worker has been redirected to another controller. */
  forget(machine: string): void {
    this.workers.delete(machine);
  }

  /** Forgets workers that are silent for long, and counts the others. */
  expire(nowMs: number): void {
    const countedWithinMs = COUNTED_WITHIN_HEARTBEATS * 1000 * this.heartbeatS;
    this.count = 0;
    for (const [machine, worker] of this.workers) {
      const silentMs = nowMs - worker.receivedMs;
      if (silentMs > FORGET_AFTER_MS) this.workers.delete(machine);
      else if (silentMs < countedWithinMs) this.count++;
    }
  }

  /** The workers that a leader without knowledge of them has to be sent in full. */
  *forResync(nowMs: number): Iterable<ServedWorker> {
    const withinMs = RESYNC_WITHIN_HEARTBEATS * 1000 * this.heartbeatS;
    for (const worker of this.workers.values()) if (nowMs - worker.receivedMs < withinMs) yield worker;
  }
}
