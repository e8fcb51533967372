/** The workers of a simulated region: those of the machines that have booted and were not lost since. */
import type { SimMachine } from "./cloud.js";
import { jobIdOf, type SimJob } from "./job.js";
import type { HostFilter } from "./net.js";
import type { SimTask } from "./taskRunner.js";
import { SimWorker, type PlacedTask, type SimWorkerOptions, type WorkerEvents } from "./worker.js";

/** What the fleet needs from its world. */
export interface SimFleetOptions {
  /** All jobs that were submitted. */
  jobs: ReadonlyMap<string, SimJob>;
  /** What each worker is made with. */
  worker: Omit<SimWorkerOptions, "events">;
  onTaskStart: (worker: SimWorker, task: SimTask) => void;
  onTaskEnd: (task: SimTask) => void;
}

/** Starts and ends workers with their machines, and finds tasks on them. */
export class SimFleet {
  /** By machine id, in order of their boot. */
  readonly workers = new Map<string, SimWorker>();
  /** Ids of machines that fail every task they start. */
  readonly faultyMachines = new Set<string>();
  /** Was that task submitted with a mistake? It fails on every machine. */
  failsEverywhere: (taskName: string) => boolean = () => false;
  private readonly events: WorkerEvents;

  constructor(private readonly options: SimFleetOptions) {
    this.events = {
      runS: (taskName) => this.runS(taskName),
      gangSize: (jobId) => this.gangSize(jobId),
      gangMembers: (jobId, attempt) => this.readyGangMembers(jobId, attempt),
      failsTask: (worker, taskName) =>
        this.faultyMachines.has(worker.machine.id) || this.failsEverywhere(taskName),
      onTaskStart: options.onTaskStart,
      onTaskEnd: options.onTaskEnd,
    };
  }

  /** Starts the worker of a machine that has booted. */
  startWorker(machine: SimMachine): void {
    this.workers.set(machine.id, new SimWorker(machine, { ...this.options.worker, events: this.events }));
  }

  /** Ends the worker of a machine that is gone. */
  endWorker(machine: SimMachine): void {
    this.workers.get(machine.id)?.kill();
    this.workers.delete(machine.id);
  }

  /** The job's tasks that have started and not ended, on all workers. */
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

  /** Accepts the hosts of that zone's machines, also of those that boot later, and the hosts named beside them. */
  zoneHosts(zone: string, ...hosts: string[]): HostFilter {
    return (host) =>
      hosts.includes(host) ||
      [...this.workers.values()].some(({ machine }) => machine.zone === zone && machine.address === host);
  }

  private runS(taskName: string): number | null {
    const [jobId, index] = taskName.split("/");
    const job = this.options.jobs.get(jobId!);
    if (!job || job.runS === null) return null;
    return job.runS + job.runStepS * Number(index);
  }

  private gangSize(jobId: string): number {
    const spec = this.options.jobs.get(jobId)?.spec;
    return spec?.form === "ensemble" ? spec.spores : 1;
  }

  private readyGangMembers(jobId: string, attempt: number): PlacedTask[] {
    return this.liveTasks(jobId).filter(({ task }) => task.attempt === attempt && task.phase !== "fetching");
  }
}

/** The job that a task belongs to; undefined: nobody submitted it. */
export function jobOf(jobs: ReadonlyMap<string, SimJob>, task: SimTask): SimJob | undefined {
  return jobs.get(jobIdOf(task.name));
}
