import type { JobSpec } from "../protocol/model.js";
import type { Team } from "../settings/platform.js";

const SLACK = 1e-6;

/** What of a team's limit something takes. */
export interface TeamAmount {
  cpus: number;
  gpus: number;
}

/** Adds what so many of a job's tasks take of their team's limit. */
export function addTasks(sum: TeamAmount, spec: JobSpec, tasks: number): void {
  sum.cpus += spec.cpus * tasks;
  sum.gpus += spec.gpus * tasks;
}

/** What each team's tasks may be using: everything planned and not yet proved gone (rule `quota`). */
export class QuotaUsage {
  private readonly used = new Map<string, TeamAmount>();
  readonly teams: Map<string, Team>;

  constructor(teams: Team[]) {
    this.teams = new Map(teams.map((t) => [t.name, t]));
  }

  usedBy(team: string): TeamAmount {
    let used = this.used.get(team);
    if (!used) {
      used = { cpus: 0, gpus: 0 };
      this.used.set(team, used);
    }
    return used;
  }

  add(spec: JobSpec, tasks: number): void {
    addTasks(this.usedBy(spec.team), spec, tasks);
  }

  /** How many more tasks of this kind the team's limit allows, with what a plan takes already. */
  tasksAllowed(spec: JobSpec, planned: TeamAmount = { cpus: 0, gpus: 0 }): number {
    const held = this.usedBy(spec.team);
    return this.tasksAllowedBeside(spec, { cpus: held.cpus + planned.cpus, gpus: held.gpus + planned.gpus });
  }

  /** How many tasks of this kind the team's limit allows beside that. */
  tasksAllowedBeside(spec: JobSpec, used: TeamAmount): number {
    const team = this.teams.get(spec.team);
    if (!team) return 0;
    const cpus = spec.cpus > 0 ? Math.floor((team.maxCpus - used.cpus + SLACK) / spec.cpus) : Infinity;
    const gpus = spec.gpus > 0 ? Math.floor((team.maxGpus - used.gpus + SLACK) / spec.gpus) : Infinity;
    return Math.max(0, Math.min(cpus, gpus));
  }
}
