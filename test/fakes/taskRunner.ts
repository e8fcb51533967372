/**
 * The tasks on one fake worker: it starts, stops and removes them as commanded, waits with a gang's tasks until all
 * members have their image, and keeps the results of completed tasks.
 */
import type { SimClock } from "./clock.js";
import { jobIdOf } from "./job.js";

/** Why a task ended, in the names of the workers' interface. */
export type TaskExitCause = "done" | "stopped" | "peers" | "error" | "in_use";

/** One attempt of a task on a worker. */
export interface SimTask {
  /** `job/index`. */
  name: string;
  attempt: number;
  /** "gathering": it waits for the other members of its gang. */
  phase: "fetching" | "gathering" | "running" | "exited";
  cause?: TaskExitCause;
}

/** A command on the wire. */
export interface WireCommand {
  verb: string;
  spore: string;
  sprout: number;
}

/** A task of a gang, and who runs it. */
export interface GangMember {
  runner: SimTaskRunner;
  task: SimTask;
}

/** The worker as its tasks see it, and what they ask of the world through it. */
export interface TaskHost {
  clock: SimClock;
  isAlive: () => boolean;
  epoch: () => number;
  /** Runs at once or, when the worker hangs, as it goes on; never once the worker is dead. */
  whenResponsive: (run: () => void) => void;
  /** A task has changed: the controllers should know soon. */
  onChange: () => void;
  onTaskStart: (task: SimTask) => void;
  onTaskEnd: (task: SimTask) => void;
  /** Seconds that the task runs; null: until it is stopped. */
  runS: (taskName: string) => number | null;
  failsTask: (taskName: string) => boolean;
  gangSize: (jobId: string) => number;
  /** All members of this gang attempt that have their image, on any worker. */
  gangMembers: (jobId: string, attempt: number) => GangMember[];
}

const FETCH_IMAGE_MS = 700;

/** Holds one worker's tasks; other runners' gang members are reached through the host. */
export class SimTaskRunner {
  /** By name and attempt; a task that exited stays until its removal is commanded. */
  readonly tasks = new Map<string, SimTask>();
  /** Results of completed tasks, which outlive the lease. */
  private readonly doneTasks = new Set<string>();

  constructor(private readonly host: TaskHost) {}

  /** Carries out commands in their order; those that no longer apply are ignored. */
  execute(commands: WireCommand[]): void {
    for (const command of commands) {
      const name = String(command.spore);
      const attempt = Number(command.sprout);
      const key = taskKey(name, attempt);
      const task = this.tasks.get(key);
      if (command.verb === "start" && !task) this.start(key, { name, attempt, phase: "fetching" });
      else if (command.verb === "stop" && task && task.phase !== "exited") this.exit(key, "stopped");
      else if (command.verb === "reap" && task?.phase === "exited") this.tasks.delete(key);
    }
  }

  /** Ends and forgets all tasks, as at the end of a lease. */
  endAll(): void {
    for (const task of this.tasks.values()) if (task.phase !== "exited") this.host.onTaskEnd(task);
    this.tasks.clear();
  }

  private start(key: string, task: SimTask): void {
    this.host.onChange();
    const isInUse = [...this.tasks.values()].some(
      (other) => other.name === task.name && other.phase !== "exited",
    );
    if (isInUse) {
      this.tasks.set(key, { ...task, phase: "exited", cause: "in_use" });
      return;
    }
    this.tasks.set(key, task);
    this.host.onTaskStart(task);
    const epoch = this.host.epoch();
    this.host.clock.after(FETCH_IMAGE_MS, () =>
      this.host.whenResponsive(() => {
        if (this.isCurrent(key, task) && epoch === this.host.epoch()) this.onImageReady(key, task);
      }),
    );
  }

  private isCurrent(key: string, task: SimTask): boolean {
    return this.host.isAlive() && this.tasks.get(key) === task && task.phase !== "exited";
  }

  private onImageReady(key: string, task: SimTask): void {
    this.host.onChange();
    if (this.doneTasks.has(task.name)) {
      this.exit(key, "done");
      return;
    }
    if (this.host.failsTask(task.name)) {
      this.exit(key, "error");
      return;
    }
    task.phase = "gathering";
    const jobId = jobIdOf(task.name);
    const members = this.host.gangMembers(jobId, task.attempt);
    if (members.length < this.host.gangSize(jobId)) return;
    for (const member of members) member.runner.run(member.task);
  }

  private run(task: SimTask): void {
    const key = taskKey(task.name, task.attempt);
    task.phase = "running";
    this.host.onChange();
    const runS = this.host.runS(task.name);
    if (runS === null) return;
    this.host.clock.after(runS * 1000, () =>
      this.host.whenResponsive(() => {
        if (this.isCurrent(key, task) && task.phase === "running") this.complete(key, task);
      }),
    );
  }

  /** A gang completes together; one that has lost a member doesn't. */
  private complete(key: string, task: SimTask): void {
    const jobId = jobIdOf(task.name);
    const size = this.host.gangSize(jobId);
    const members = size === 1 ? [{ runner: this, task }] : this.host.gangMembers(jobId, task.attempt);
    if (members.length < size) {
      this.exit(key, "peers");
      return;
    }
    for (const member of members) {
      member.runner.exit(taskKey(member.task.name, member.task.attempt), "done");
    }
  }

  private exit(key: string, cause: TaskExitCause): void {
    const task = this.tasks.get(key);
    if (!task) return;
    task.phase = "exited";
    task.cause = cause;
    if (cause === "done") this.doneTasks.add(task.name);
    this.host.onTaskEnd(task);
    this.host.onChange();
  }
}

function taskKey(name: string, attempt: number): string {
  return `${name}#${attempt}`;
}
