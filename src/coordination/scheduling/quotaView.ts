/** Quotas as one scheduling cycle sees them: what is used, and what the cycle itself has planned (rule `quota`). */
import type { Job } from "../../bookkeeping/workload.js";
import { addTaskUsage, type QuotaAmount, type QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { JobSpec } from "../../protocol/model.js";
import type { QuotaView } from "./views.js";

/**
 * The teams' limits as one scheduling cycle sees them (rule `quota`): what is used, and what the cycle plans. Sums over
 * all tasks are made once, and only for a team that is at its limit.
 */
export function quotaView(usage: QuotaUsage, jobs: ReadonlyMap<string, Job>): QuotaView {
  return new CycleQuota(usage, jobs);
}

class CycleQuota implements QuotaView {
  private readonly plannedByTeam = new Map<string, QuotaAmount>();
  private readonly stoppingByTeam = new Map<string, QuotaAmount>();
  private readonly lastingByTeamAndPriority = new Map<string, QuotaAmount>();

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
    const lasting = this.lasting(spec);
    const planned = this.planned(spec.team);
    return this.usage.tasksAllowedGivenUsage(spec, {
      cpus: lasting.cpus + planned.cpus,
      gpus: lasting.gpus + planned.gpus,
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

  /** What the team's tasks hold that are being stopped. */
  private stopping(team: string): QuotaAmount {
    const known = this.stoppingByTeam.get(team);
    if (known) return known;
    const sum: QuotaAmount = { cpus: 0, gpus: 0 };
    for (const job of this.jobs.values()) {
      if (job.spec.team !== team) continue;
      for (const attempt of job.attempts) if (attempt.stop) addTaskUsage(sum, job.spec, 1);
    }
    this.stoppingByTeam.set(team, sum);
    return sum;
  }

  /** What the job's team keeps for good, as far as the job can tell. */
  private lasting(waiting: JobSpec): QuotaAmount {
    const key = `${waiting.team} ${waiting.priority}`;
    const known = this.lastingByTeamAndPriority.get(key);
    if (known) return known;
    const sum: QuotaAmount = { cpus: 0, gpus: 0 };
    for (const { spec, attempts } of this.jobs.values()) {
      if (spec.team === waiting.team && isLasting(spec, waiting)) addTaskUsage(sum, spec, attempts.size);
    }
    this.lastingByTeamAndPriority.set(key, sum);
    return sum;
  }
}

/** Tasks of arrays end soon, or may be stopped for work of a higher priority; services and gangs keep what they have. */
function isLasting(running: JobSpec, waiting: JobSpec): boolean {
  return running.kind !== "array" || running.priority > waiting.priority;
}
