/** Lease expiry as a proof that a silent machine's tasks are gone (rule `ran_twice`). */
import type { Machine } from "../../bookkeeping/workload.js";
import type { HeartbeatServerRegistry } from "../heartbeats/heartbeatServerRegistry.js";
import { leaseExpiredEverywhereFromMs, leaseExpiredFromMs } from "../term/leaseProofs.js";
import type { TermLease } from "../term/termLease.js";

/** Proves that the lease of a silent machine's worker has expired (rule `ran_twice`); silence alone proves nothing. */
export class MachineLeases {
  constructor(
    private readonly lease: TermLease,
    private readonly servers: HeartbeatServerRegistry,
    /** The workers' lease, in seconds. */
    private readonly leaseS: number,
  ) {}

  /** Has the worker's lease certainly expired, whichever controller may have acknowledged its heartbeats? */
  hasExpired(machine: Machine, nowMs: number): boolean {
    const { earlierLeadersSilentFromMs } = this.lease;
    // No leader of an earlier term can have renewed it after that.
    const lastAcknowledgedMs = Math.max(machine.lastAcknowledgedMs, earlierLeadersSilentFromMs);
    if (nowMs < leaseExpiredFromMs(lastAcknowledgedMs, this.leaseS)) return false;
    const facts = this.servers.acknowledgementFacts(machine.zone, earlierLeadersSilentFromMs);
    return nowMs >= leaseExpiredEverywhereFromMs(lastAcknowledgedMs, facts, this.leaseS);
  }
}
