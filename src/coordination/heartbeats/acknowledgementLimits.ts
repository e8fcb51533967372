/**
 * Until when heartbeats may be acknowledged, by what the leader knows of cancellations (rule `ran_cancelled`): a cancelled
 * task that no command reaches has to end in time by its worker's lease.
 */
import type { Job, Machine } from "../../bookkeeping/workload.js";
import { log } from "../../transport/log.js";
import { acknowledgementLimitMs } from "../term/acknowledgementLimit.js";
import { GRANT_DURATION_MS } from "./heartbeatServerRegistry.js";

/** Machines are quarantined this much early: limits are computed at each tick only, and a grant counts from its request. */
const QUARANTINE_AHEAD_MS = 500;

/** Owns the limits for everybody, for zones, and the machines to which none may apply any more. */
export class AcknowledgementLimits {
  /** Nobody acknowledges anything after that. Before the records are read nothing is known, so nothing at all. */
  untilMs = -Infinity;
  /**
   * Machines with a cancelled task that has not shown in time that it is gone: the machine hangs, commands don't reach it,
   * or the cancellation became known too late. Their leases have to expire, whatever else runs there.
   */
  quarantined: string[] = [];
  /** The limit that machines with a cancelled task set for their zone; quarantined machines set none. */
  private readonly zones = new Map<string, number>();

  constructor(private readonly options: { cancelS: number; leaseS: number; clockErrorMs: number }) {}

  /**
   * Computes all limits from the jobs as they stand at `nowMs` (`wallTime` by the operator's clocks); every cancellation
   * that was confirmed before `knownMs` is among them.
   */
  update(knownMs: number, jobs: Iterable<Job>, nowMs: number, wallTime: Date): void {
    const { cancelS, leaseS } = this.options;
    this.untilMs = acknowledgementLimitMs(knownMs, cancelS, leaseS);
    this.zones.clear();
    const quarantined: string[] = [];
    for (const [machine, limitMs] of this.machineLimits(jobs, nowMs, wallTime)) {
      // Whoever has a grant may use it to its end without knowing of this cancellation.
      const isTooLate = nowMs + GRANT_DURATION_MS + QUARANTINE_AHEAD_MS >= limitMs;
      if (!isTooLate) {
        this.zones.set(machine.zone, Math.min(this.zones.get(machine.zone) ?? Infinity, limitMs));
        continue;
      }
      quarantined.push(machine.name);
      if (!this.quarantined.includes(machine.name))
        log.info(`${machine.name}: a cancelled task stays, left to its lease`);
    }
    this.quarantined = quarantined;
  }

  /** The limit for each machine with a task of a cancelled job. */
  private machineLimits(jobs: Iterable<Job>, nowMs: number, wallTime: Date): Map<Machine, number> {
    const { cancelS, leaseS, clockErrorMs } = this.options;
    const limits = new Map<Machine, number>();
    for (const job of jobs) {
      if (job.cancelledAt === null) continue;
      // The clock of whoever wrote that time may be wrong by the error, and so may ours.
      const agoMs = wallTime.getTime() - job.cancelledAt.getTime() + 2 * clockErrorMs;
      const limitMs = acknowledgementLimitMs(nowMs - agoMs, cancelS, leaseS);
      for (const { machine } of job.attempts)
        limits.set(machine, Math.min(limits.get(machine) ?? Infinity, limitMs));
    }
    return limits;
  }

  /** Until when workers of that zone may be acknowledged by a controller that is cut off with them. */
  zoneUntilMs(zone: string): number {
    // A machine whose zone is not known ("") may be in this one.
    return Math.min(this.untilMs, this.zones.get(zone) ?? Infinity, this.zones.get("") ?? Infinity);
  }
}
