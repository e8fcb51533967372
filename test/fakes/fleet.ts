/** The workers of a simulated region, one on each machine that has booted and still exists. */
import type { SimMachine } from "./cloud.js";
import { jobIdOf, type SimJob } from "./job.js";
import type { HostFilter } from "./net.js";
import type { SimTask } from "./taskRunner.js";
import { SimWorker, type PlacedTask, type SimWorkerOptions, type WorkerEvents } from "./worker.js";

/** Dependencies of the fleet. */
export interface SimFleetOptions {
  /** All submitted jobs, by id. */
  jobs: ReadonlyMap<string, SimJob>;
  /** Options that each new worker is created with. */
  worker: Omit<SimWorkerOptions, "events">;
  onTaskStart: (worker: SimWorker, task: SimTask) => void;
  onTaskEnd: (task: SimTask) => void;
}

/** Starts and kills workers together with their machines, and looks up the tasks on them. */
export class SimFleet {
  /** Workers by machine id, in order of boot. */
  readonly workers = new Map<string, SimWorker>();
  /** Ids of the machines on which every task fails. */
  readonly faultyMachines = new Set<string>();
  /** Whether the task fails on every machine, as one with an error in its submission does. */
  failsEverywhere: (taskName: string) => boolean = () => false;
  private readonly events: WorkerEvents;

  constructor(private readonly options: SimFleetOptions) {
    this.events = {
      runTimeS: (taskName) => this.runTimeS(taskName),
      gangSize: (jobId) => this.gangSize(jobId),
      gangMembers: (jobId, attempt) => this.readyGangMembers(jobId, attempt),
      failsTask: (worker, taskName) =>
        this.faultyMachines.has(worker.machine.id) || this.failsEverywhere(taskName),
      onTaskStart: options.onTaskStart,
      onTaskEnd: options.onTaskEnd,
    };
  }

  /** Starts the worker on a machine that has booted. */
  startWorker(machine: SimMachine): void {
    this.workers.set(machine.id, new SimWorker(machine, { ...this.options.worker, events: this.events }));
  }

  /** Kills the worker of a machine that no longer exists. */
  killWorker(machine: SimMachine): void {
    this.workers.get(machine.id)?.kill();
    this.workers.delete(machine.id);
  }

  /** Returns the job's tasks that have started and not ended, on all workers. */
  liveTasks(jobId: string): PlacedTask[] {
    const prefix = `${jobId}/`;
    const live: PlacedTask[] = [];
    for (const worker of this.workers.values()) {
      for (const task of worker.tasks.values()) {
        if (task.phase !== "exited" && task.name.startsWith(prefix)) live.push({ worker, task });
      }
    }
    return live;
  }

  /** Selects the zone's machines, including those that boot later, and the additional hosts. */
  zoneHosts(zone: string, ...hosts: string[]): HostFilter {
    return (host) =>
      hosts.includes(host) ||
      [...this.workers.values()].some(({ machine }) => machine.zone === zone && machine.address === host);
  }

  private runTimeS(taskName: string): number | null {
    const [jobId, index] = taskName.split("/");
    const job = this.options.jobs.get(jobId!);
    if (!job || job.runTimeS === null) return null;
    return job.runTimeS + job.runTimeStepS * Number(index);
  }

  private gangSize(jobId: string): number {
    const spec = this.options.jobs.get(jobId)?.spec;
    return spec?.form === "ensemble" ? spec.spores : 1;
  }

  private readyGangMembers(jobId: string, attempt: number): PlacedTask[] {
    return this.liveTasks(jobId).filter(({ task }) => task.attempt === attempt && task.phase !== "fetching");
  }
}

/** Returns the job that a task belongs to, or undefined if no such job was submitted. */
export function jobOf(jobs: ReadonlyMap<string, SimJob>, task: SimTask): SimJob | undefined {
  return jobs.get(jobIdOf(task.name));
}
