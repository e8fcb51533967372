/**
 * The task runner of a fake worker. It starts, stops and removes tasks as commanded, runs a gang's tasks only once all
 * members have fetched their image, and keeps the results of completed tasks.
 */
import type { SimClock } from "./clock.js";
import { jobIdOf } from "./job.js";

/** The cause of a task's exit, as named in the worker API. */
export type TaskExitCause = "done" | "stopped" | "peers" | "error" | "in_use";

/** One attempt of a task on a worker. */
export interface SimTask {
  /** Task name of the form `job/index`. */
  name: string;
  attempt: number;
  /** Current phase; a task in "gathering" waits for the other members of its gang. */
  phase: "fetching" | "gathering" | "running" | "exited";
  /** The cause of the exit; absent unless the task has exited. */
  cause?: TaskExitCause;
}

/** A command as encoded on the wire. */
export interface WireCommand {
  verb: string;
  spore: string;
  sprout: number;
}

/** A task of a gang and the runner that executes it. */
export interface GangMember {
  runner: SimTaskRunner;
  task: SimTask;
}

/** The task runner's interface to its worker and, through the worker, to the world. */
export interface TaskHost {
  clock: SimClock;
  isAlive: () => boolean;
  epoch: () => number;
  /** Runs the callback immediately or, if the worker hangs, when it resumes; never after the worker was killed. */
  whenResponsive: (run: () => void) => void;
  /** Called when a task's state has changed, so that a heartbeat reports it soon. */
  onChange: () => void;
  onTaskStart: (task: SimTask) => void;
  onTaskEnd: (task: SimTask) => void;
  /** Returns the task's run time, in seconds; null if it runs until it is stopped. */
  runTimeS: (taskName: string) => number | null;
  failsTask: (taskName: string) => boolean;
  /** Returns the number of members of the job's gang; 1 if the job is not a gang. */
  gangSize: (jobId: string) => number;
  /** Returns the members of the gang attempt that have fetched their image, on all workers. */
  gangMembers: (jobId: string, attempt: number) => GangMember[];
}

/** Time that fetching an image takes. */
const FETCH_IMAGE_MS = 700;

/** Owns the tasks of one worker; it reaches gang members on other workers through the host. */
export class SimTaskRunner {
  /** Tasks by name and attempt; an exited task remains until its removal is commanded. */
  readonly tasks = new Map<string, SimTask>();
  /** Names of the completed tasks, whose results are kept beyond the end of a lease. */
  private readonly doneTasks = new Set<string>();

  constructor(private readonly host: TaskHost) {}

  /** Executes commands in order and ignores those that do not apply to the task's current state. */
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

  /** Ends and removes all tasks, as required when a lease expires. */
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
    const runTimeS = this.host.runTimeS(task.name);
    if (runTimeS === null) return;
    this.host.clock.after(runTimeS * 1000, () =>
      this.host.whenResponsive(() => {
        if (this.isCurrent(key, task) && task.phase === "running") this.complete(key, task);
      }),
    );
  }

  /** Completes all members of a gang together; if a member is missing, this task exits with the cause "peers". */
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
