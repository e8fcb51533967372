import type { Job } from "../../bookkeeping/workload.js";
import { addTasks, type TeamAmount, type QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { JobSpec } from "../../protocol/model.js";
import type { QuotaView } from "./views.js";

/**
 * The teams' limits as one scheduling cycle sees them (rule `quota`): what is used, less what the cycle plans. Sums over
 * all tasks are made only for a team that is at its limit.
 */
export function quotaView(usage: QuotaUsage, jobs: ReadonlyMap<string, Job>): QuotaView {
  const planned = new Map<string, TeamAmount>();
  const stopping = new Map<string, TeamAmount>();
  const lasting = new Map<string, TeamAmount>();

  const plannedOf = (team: string): TeamAmount => planned.get(team) ?? { cpus: 0, gpus: 0 };

  const stoppingOf = (team: string): TeamAmount => {
    let sum = stopping.get(team);
    if (!sum) {
      sum = { cpus: 0, gpus: 0 };
      for (const job of jobs.values()) {
        if (job.spec.team !== team) continue;
        for (const attempt of job.attempts) if (attempt.stop) addTasks(sum, job.spec, 1);
      }
      stopping.set(team, sum);
    }
    return sum;
  };

  const lastingOf = (spec: JobSpec): TeamAmount => {
    const key = `${spec.team} ${spec.priority}`;
    let sum = lasting.get(key);
    if (!sum) {
      sum = { cpus: 0, gpus: 0 };
      for (const job of jobs.values()) {
        if (job.spec.team === spec.team && lasts(job.spec, spec)) addTasks(sum, job.spec, job.attempts.size);
      }
      lasting.set(key, sum);
    }
    return sum;
  };

  return {
    room: (spec) => usage.tasksAllowed(spec, plannedOf(spec.team)),
    roomWhenStopped: (spec) => {
      const plan = plannedOf(spec.team);
      const gone = stoppingOf(spec.team);
      return usage.tasksAllowed(spec, { cpus: plan.cpus - gone.cpus, gpus: plan.gpus - gone.gpus });
    },
    attainable: (spec) => {
      const { cpus, gpus } = lastingOf(spec);
      const plan = plannedOf(spec.team);
      return usage.tasksAllowedBeside(spec, { cpus: cpus + plan.cpus, gpus: gpus + plan.gpus });
    },
    take: (spec, tasks) => {
      const sum = plannedOf(spec.team);
      addTasks(sum, spec, tasks);
      planned.set(spec.team, sum);
    },
  };
}

/** Tasks of arrays end soon, or may be stopped for greater work; services and gangs keep what they have. */
function lasts(running: JobSpec, waiting: JobSpec): boolean {
  return running.kind !== "array" || running.priority > waiting.priority;
}
