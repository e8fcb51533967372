/** Use of teams' quotas. Everything counts that is planned and not yet proved gone (rule `quota`). */
import type { JobSpec } from "../protocol/model.js";
import type { Team } from "../settings/platform.js";

/** Allowance for rounding errors of sums, in CPUs and GPUs. */
const ROUNDING_SLACK = 1e-6;

/** An amount of a team's quota. */
export interface TeamAmount {
  cpus: number;
  gpus: number;
}

/** Adds what so many of a job's tasks take of their team's quota; a negative number takes it back. */
export function addTasks(sum: TeamAmount, spec: JobSpec, tasks: number): void {
  sum.cpus += spec.cpus * tasks;
  sum.gpus += spec.gpus * tasks;
}

/** Owns what each team's tasks may be using: every attempt from its plan until it is proved gone (rule `quota`). */
export class QuotaUsage {
  private readonly used = new Map<string, TeamAmount>();
  /** The teams by their name. */
  readonly teams: Map<string, Team>;

  constructor(teams: Team[]) {
    this.teams = new Map(teams.map((team) => [team.name, team]));
  }

  /** What the team's tasks may be using. */
  usedBy(team: string): TeamAmount {
    let used = this.used.get(team);
    if (!used) {
      used = { cpus: 0, gpus: 0 };
      this.used.set(team, used);
    }
    return used;
  }

  /** So many more tasks of the job may be using resources; a negative number: are proved gone. */
  add(spec: JobSpec, tasks: number): void {
    addTasks(this.usedBy(spec.team), spec, tasks);
  }

  /** How many more tasks like this the team's quota allows, beside what a plan has taken of it already. */
  tasksAllowed(spec: JobSpec, planned: TeamAmount = { cpus: 0, gpus: 0 }): number {
    const used = this.usedBy(spec.team);
    return this.tasksAllowedBeside(spec, { cpus: used.cpus + planned.cpus, gpus: used.gpus + planned.gpus });
  }

  /** How many tasks like this the team's quota allows when that much of it is used; none for an unknown team. */
  tasksAllowedBeside(spec: JobSpec, used: TeamAmount): number {
    const team = this.teams.get(spec.team);
    if (!team) return 0;
    const cpus =
      spec.cpus > 0 ? Math.floor((team.maxCpus - used.cpus + ROUNDING_SLACK) / spec.cpus) : Infinity;
    const gpus =
      spec.gpus > 0 ? Math.floor((team.maxGpus - used.gpus + ROUNDING_SLACK) / spec.gpus) : Infinity;
    return Math.max(0, Math.min(cpus, gpus));
  }
}
