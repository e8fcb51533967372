/** Accounting of the teams' quotas. Every attempt that is planned and not yet confirmed gone counts (rule `quota`). */
import type { JobSpec } from "../protocol/model.js";
import type { Team } from "../settings/platform.js";

/** Tolerance for rounding errors in sums of CPUs or GPUs. */
const ROUNDING_TOLERANCE = 1e-6;

/** An amount of the resources that a team's quota limits. */
export interface QuotaAmount {
  cpus: number;
  gpus: number;
}

/** Adds the quota use of `tasks` tasks of a job to `sum`; a negative number subtracts it. */
export function addTaskUsage(sum: QuotaAmount, spec: JobSpec, tasks: number): void {
  sum.cpus += spec.cpus * tasks;
  sum.gpus += spec.gpus * tasks;
}

/** The quota use of each team: every attempt counts from its planning until it is confirmed gone (rule `quota`). */
export class QuotaUsage {
  private readonly used = new Map<string, QuotaAmount>();
  /** Teams by name. */
  readonly teams: Map<string, Team>;

  constructor(teams: Team[]) {
    this.teams = new Map(teams.map((team) => [team.name, team]));
  }

  /** The resources that the team's attempts hold. */
  usedBy(team: string): QuotaAmount {
    let used = this.used.get(team);
    if (!used) {
      used = { cpus: 0, gpus: 0 };
      this.used.set(team, used);
    }
    return used;
  }

  /** Adds the use of `tasks` newly planned tasks; a negative number releases the use of tasks confirmed gone. */
  add(spec: JobSpec, tasks: number): void {
    addTaskUsage(this.usedBy(spec.team), spec, tasks);
  }

  /** Number of further tasks of this job that the team's quota allows in addition to its use and to `planned`. */
  tasksAllowed(spec: JobSpec, planned: QuotaAmount = { cpus: 0, gpus: 0 }): number {
    const used = this.usedBy(spec.team);
    return this.tasksAllowedGivenUsage(spec, {
      cpus: used.cpus + planned.cpus,
      gpus: used.gpus + planned.gpus,
    });
  }

  /** Number of tasks of this job that the team's quota allows when `used` is taken; 0 for an unknown team. */
  tasksAllowedGivenUsage(spec: JobSpec, used: QuotaAmount): number {
    const team = this.teams.get(spec.team);
    if (!team) return 0;
    const cpus =
      spec.cpus > 0 ? Math.floor((team.maxCpus - used.cpus + ROUNDING_TOLERANCE) / spec.cpus) : Infinity;
    const gpus =
      spec.gpus > 0 ? Math.floor((team.maxGpus - used.gpus + ROUNDING_TOLERANCE) / spec.gpus) : Infinity;
    return Math.max(0, Math.min(cpus, gpus));
  }
}
