/**
 * Limits how long heartbeats may be acknowledged, given the cancellations that the leader knows (rule `ran_cancelled`): a
 * cancelled task that no stop command reaches must end in time through the expiry of its worker's lease.
 */
import type { Job, Machine } from "../../bookkeeping/workload.js";
import { UNKNOWN_ZONE } from "../../protocol/model.js";
import { log, quoteName } from "../../transport/log.js";
import { acknowledgementLimitMs } from "../term/acknowledgementLimit.js";
import { GRANT_DURATION_MS } from "./heartbeatServerRegistry.js";

/**
 * Machines are quarantined this much early, because limits are computed only once per tick. The delivery of a grant needs
 * no allowance, because a grant counts from its request.
 */
const QUARANTINE_MARGIN_MS = 500;

/** Owns the global limit, the limit of each zone, and the list of quarantined machines. */
export class AcknowledgementLimits {
  /**
   * Steady time after which no controller may acknowledge any heartbeat; -Infinity until the records have been read, since
   * no cancellation is known before that.
   */
  acknowledgeUntilMs = -Infinity;
  /**
   * Names of machines with a cancelled task that was not confirmed stopped in time: the machine hangs, commands do not
   * reach it, or the cancellation became known too late. Their leases must expire, whatever else runs on them.
   */
  quarantined: string[] = [];
  /** Limit in steady time by zone, set by machines with a cancelled task; quarantined machines set none. */
  private readonly zoneLimitsMs = new Map<string, number>();

  constructor(private readonly options: { cancelS: number; leaseS: number; clockErrorMs: number }) {}

  /**
   * Recomputes all limits from the current jobs. `nowMs` and `wallTime` are the same moment on the steady and the wall
   * clock; `jobs` reflects every cancellation that was confirmed to a user before `knownUntilMs`.
   */
  update(knownUntilMs: number, jobs: Iterable<Job>, nowMs: number, wallTime: Date): void {
    const { cancelS, leaseS } = this.options;
    this.acknowledgeUntilMs = acknowledgementLimitMs(knownUntilMs, cancelS, leaseS);
    this.zoneLimitsMs.clear();
    const quarantined: string[] = [];
    for (const [machine, limitMs] of this.machineLimits(jobs, nowMs, wallTime)) {
      // A controller may use its current grant to the end without knowing of this cancellation.
      const isTooLate = nowMs + GRANT_DURATION_MS + QUARANTINE_MARGIN_MS >= limitMs;
      if (!isTooLate) {
        this.zoneLimitsMs.set(
          machine.zone,
          Math.min(this.zoneLimitsMs.get(machine.zone) ?? Infinity, limitMs),
        );
        continue;
      }
      quarantined.push(machine.name);
      if (!this.quarantined.includes(machine.name))
        log.info(
          `${quoteName(machine.name)}: quarantined so that its lease expires, because a cancelled task was not confirmed stopped in time`,
        );
    }
    this.quarantined = quarantined;
  }

  /** The limit in steady time for each machine with a task of a cancelled job. */
  private machineLimits(jobs: Iterable<Job>, nowMs: number, wallTime: Date): Map<Machine, number> {
    const { cancelS, leaseS, clockErrorMs } = this.options;
    const limits = new Map<Machine, number>();
    for (const job of jobs) {
      if (job.cancelledAt === null) continue;
      // Both the clock that wrote `cancelledAt` and this one may be off by `clockErrorMs`.
      const cancellationAgeMs = wallTime.getTime() - job.cancelledAt.getTime() + 2 * clockErrorMs;
      const limitMs = acknowledgementLimitMs(nowMs - cancellationAgeMs, cancelS, leaseS);
      for (const { machine } of job.attempts)
        limits.set(machine, Math.min(limits.get(machine) ?? Infinity, limitMs));
    }
    return limits;
  }

  /** Steady time until which a controller that is partitioned together with `zone` may acknowledge its workers. */
  zoneAcknowledgeUntilMs(zone: string): number {
    // A machine whose zone is unknown may be in this zone.
    return Math.min(
      this.acknowledgeUntilMs,
      this.zoneLimitsMs.get(zone) ?? Infinity,
      this.zoneLimitsMs.get(UNKNOWN_ZONE) ?? Infinity,
    );
  }
}
