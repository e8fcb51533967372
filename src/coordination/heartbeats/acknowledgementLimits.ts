import type { Job, Machine } from "../../bookkeeping/workload.js";
import { log } from "../../transport/log.js";
import { acknowledgementLimitMs } from "../term/acknowledgementLimit.js";
import { GRANT_DURATION_MS } from "./heartbeatServerRegistry.js";

/** What the leader and those under its grants may acknowledge, by what it knows of cancellations (`ackLimitMs`). */
export class AcknowledgementLimits {
  /** Nothing after that. Before the records are read nothing is known, so nothing at all. */
  untilMs = -Infinity;
  /**
   * Machines with a cancelled task that has not shown in time that it is gone: hung, out of the commands' reach, or heard
   * of too late. They are left to their leases, whatever else runs there.
   */
  quarantined: string[] = [];
  /** The end for machines with a cancelled task, by zone, those that are quarantined aside. */
  private readonly zones = new Map<string, number>();

  constructor(private readonly options: { cancelS: number; leaseS: number; clockErrorMs: number }) {}

  /** Keeps to what was known at `nowMs`: what has been learned since only adds to it. */
  update(knownMs: number, jobs: Iterable<Job>, nowMs: number, today: Date): void {
    const { cancelS, leaseS, clockErrorMs } = this.options;
    this.untilMs = acknowledgementLimitMs(knownMs, cancelS, leaseS);
    this.zones.clear();
    const limits = new Map<Machine, number>();
    for (const job of jobs) {
      if (job.cancelledAt === null) continue;
      // Whoever wrote that time, and we, may be wrong by the clocks' error.
      const agoMs = today.getTime() - job.cancelledAt.getTime() + 2 * clockErrorMs;
      const limitMs = acknowledgementLimitMs(nowMs - agoMs, cancelS, leaseS);
      for (const { machine } of job.attempts)
        limits.set(machine, Math.min(limits.get(machine) ?? Infinity, limitMs));
    }
    const quarantined: string[] = [];
    for (const [machine, limitMs] of limits) {
      // Whoever has a grant may use it to its end without hearing of this.
      if (nowMs + GRANT_DURATION_MS + QUARANTINE_AHEAD_MS >= limitMs) {
        quarantined.push(machine.name);
        if (!this.quarantined.includes(machine.name))
          log.info(`${machine.name}: a cancelled task stays, left to its lease`);
      } else this.zones.set(machine.zone, Math.min(this.zones.get(machine.zone) ?? Infinity, limitMs));
    }
    this.quarantined = quarantined;
  }

  /** For workers of that zone, whoever is cut off with them. Where a machine is not known, it may be there. */
  zoneUntilMs(zone: string): number {
    return Math.min(this.untilMs, this.zones.get(zone) ?? Infinity, this.zones.get("") ?? Infinity);
  }
}

/** The limits are worked out anew each tick, and a grant counts from when it was asked for. */
const QUARANTINE_AHEAD_MS = 500;
