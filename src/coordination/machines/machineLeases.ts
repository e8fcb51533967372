/** Uses lease expiry to prove that the tasks of a silent machine are gone (rule `ran_twice`). */
import type { Machine } from "../../bookkeeping/workload.js";
import type { HeartbeatServerRegistry } from "../heartbeats/heartbeatServerRegistry.js";
import { leaseExpiredEverywhereFromMs, leaseExpiredFromMs } from "../term/leaseProofs.js";
import type { TermLease } from "../term/termLease.js";

/**
 * Proves that the lease of a silent machine's worker has expired (rule `ran_twice`). Silence alone does not prove that its
 * tasks are gone.
 */
export class MachineLeases {
  constructor(
    private readonly lease: TermLease,
    private readonly servers: HeartbeatServerRegistry,
    /** Duration of a worker's lease, in seconds. */
    private readonly leaseS: number,
  ) {}

  /** True if the worker's lease has certainly expired, whichever controllers may have acknowledged its heartbeats. */
  hasExpired(machine: Machine, nowMs: number): boolean {
    const { earlierLeadershipExpiredFromMs } = this.lease;
    // No leader of an earlier term can have renewed the lease after `earlierLeadershipExpiredFromMs`.
    const lastAcknowledgedMs = Math.max(machine.lastAcknowledgedMs, earlierLeadershipExpiredFromMs);
    if (nowMs < leaseExpiredFromMs(lastAcknowledgedMs, this.leaseS)) return false;
    const facts = this.servers.acknowledgementFacts(machine.zone, earlierLeadershipExpiredFromMs);
    return nowMs >= leaseExpiredEverywhereFromMs(lastAcknowledgedMs, facts, this.leaseS);
  }
}
