/** Team quotas during one scheduling cycle (rule `quota`). */
import type { Job } from "../../bookkeeping/workload.js";
import { addTaskUsage, type QuotaAmount, type QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { JobSpec } from "../../protocol/model.js";
import type { QuotaView } from "./views.js";

/**
 * Creates the view of the teams' quotas for one scheduling cycle. It counts what is used and what the cycle has planned.
 * Sums over all of a team's tasks are computed only for a team at its limit, and at most once per cycle.
 */
export function quotaView(usage: QuotaUsage, jobs: ReadonlyMap<string, Job>): QuotaView {
  return new CycleQuota(usage, jobs);
}

class CycleQuota implements QuotaView {
  private readonly plannedByTeam = new Map<string, QuotaAmount>();
  private readonly stoppingByTeam = new Map<string, QuotaAmount>();
  private readonly unreclaimableByTeamAndPriority = new Map<string, QuotaAmount>();

  constructor(
    private readonly usage: QuotaUsage,
    private readonly jobs: ReadonlyMap<string, Job>,
  ) {}

  headroom(spec: JobSpec): number {
    return this.usage.tasksAllowed(spec, this.planned(spec.team));
  }

  headroomAfterStops(spec: JobSpec): number {
    const planned = this.planned(spec.team);
    const stopping = this.stopping(spec.team);
    return this.usage.tasksAllowed(spec, {
      cpus: planned.cpus - stopping.cpus,
      gpus: planned.gpus - stopping.gpus,
    });
  }

  attainableHeadroom(spec: JobSpec): number {
    const unreclaimable = this.unreclaimable(spec);
    const planned = this.planned(spec.team);
    return this.usage.tasksAllowedGivenUsage(spec, {
      cpus: unreclaimable.cpus + planned.cpus,
      gpus: unreclaimable.gpus + planned.gpus,
    });
  }

  recordPlannedTasks(spec: JobSpec, tasks: number): void {
    const planned = this.planned(spec.team);
    addTaskUsage(planned, spec, tasks);
    this.plannedByTeam.set(spec.team, planned);
  }

  private planned(team: string): QuotaAmount {
    return this.plannedByTeam.get(team) ?? { cpus: 0, gpus: 0 };
  }

  /** Returns the quota that the team's tasks use that are being stopped. */
  private stopping(team: string): QuotaAmount {
    const cached = this.stoppingByTeam.get(team);
    if (cached) return cached;
    const sum: QuotaAmount = { cpus: 0, gpus: 0 };
    for (const job of this.jobs.values()) {
      if (job.spec.team !== team) continue;
      for (const attempt of job.attempts) if (attempt.stop) addTaskUsage(sum, job.spec, 1);
    }
    this.stoppingByTeam.set(team, sum);
    return sum;
  }

  /** Returns the quota that the waiting job's team uses and that will not become free for the job. */
  private unreclaimable(waiting: JobSpec): QuotaAmount {
    const key = `${waiting.priority} ${waiting.team}`;
    const cached = this.unreclaimableByTeamAndPriority.get(key);
    if (cached) return cached;
    const sum: QuotaAmount = { cpus: 0, gpus: 0 };
    for (const { spec, attempts } of this.jobs.values()) {
      if (spec.team === waiting.team && isUnreclaimable(spec, waiting))
        addTaskUsage(sum, spec, attempts.size);
    }
    this.unreclaimableByTeamAndPriority.set(key, sum);
    return sum;
  }
}

/**
 * Returns whether the quota of a running job will not become free for a waiting job of its team. Tasks of arrays end soon
 * or may be preempted for higher priorities, so only arrays of a higher priority count; services and gangs always do.
 */
function isUnreclaimable(running: JobSpec, waiting: JobSpec): boolean {
  return running.kind !== "array" || running.priority > waiting.priority;
}
