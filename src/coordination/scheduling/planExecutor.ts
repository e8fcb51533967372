/** Turns a cycle's plan into planned attempts and stops; nothing is sent before the attempts are durable. */
import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import type { Objective } from "../../settings/platform.js";
import { log } from "../../transport/log.js";
import type { Attempts } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { WriteRequests } from "../term/writeQueue.js";
import { waitTargetLeftS } from "./objectiveTargets.js";
import type { Placement, PlacementPlan } from "./placementPlan.js";

/** A stop with a checkpoint takes this much longer than saving it. */
const STOP_MARGIN_S = 1;

/** What carrying out a plan uses of the term. */
export interface PlanExecutorContext {
  jobs: JobRegistry;
  machines: MachineRegistry;
  attempts: Attempts;
  writes: WriteRequests;
  objectives: Objective[];
}

/** Carries out the decisions of a cycle: placements become planned attempts, evictions become stops. */
export class PlanExecutor {
  constructor(private readonly context: PlanExecutorContext) {}

  /** Planned attempts are sent only once they are written: a write is requested at once. */
  execute({ placements, evictions }: PlacementPlan, nowMs: number): void {
    for (const placement of placements) this.placeTasks(placement, nowMs);
    if (placements.length > 0) this.context.writes.requestWrite(0);
    for (const { ref, jobId } of evictions) this.evict(ref as Attempt, jobId, nowMs);
  }

  private placeTasks({ jobId, machine: machineName, tasks }: Placement, nowMs: number): void {
    const job = this.context.jobs.get(jobId);
    const machine = this.context.machines.get(machineName);
    if (!job || !machine) return;
    for (let i = 0; i < tasks; i++) {
      const task = job.takePendingTask();
      if (task === null) break;
      this.planAttempt(job, task, machine, nowMs);
    }
    log.debug(() => `${job.id}: placed ${tasks} tasks on ${machine.name}`);
  }

  private planAttempt(job: Job, task: number, machine: Machine, nowMs: number): void {
    const chunk = job.getOrCreateChunk(task);
    this.context.attempts.attach({
      job,
      task,
      number: this.attemptNumber(job),
      machine,
      isDurable: false,
      isInherited: false,
      sentToken: -1,
      sentEpoch: 0,
      sentMs: -Infinity,
      phase: null,
      plannedMs: nowMs,
      runningMs: null,
      stop: null,
    });
    chunk.isDirty = true;
    chunk.isUrgent = true;
  }

  /** A gang's tasks find one another by their attempt number: one for all of them. */
  private attemptNumber(job: Job): number {
    if (job.spec.kind === "gang") for (const { number } of job.attempts) return number;
    return this.context.attempts.nextNumber();
  }

  private evict(attempt: Attempt, forJobId: string, nowMs: number): void {
    const { job, machine } = attempt;
    if (attempt.stop || !machine.attempts.has(attempt)) return;
    log.debug(() => `${job.id}/${attempt.task}: preempted on ${machine.name} for ${forJobId}`);
    if (this.mustStopAtOnce(job, forJobId, nowMs)) this.context.attempts.stopAttempt(attempt, 0);
    else this.context.attempts.stopGracefully(attempt);
  }

  /** A job that has to start at once can't wait for a checkpoint: the victim loses what ran since its last one. */
  private mustStopAtOnce(victim: Job, forJobId: string, nowMs: number): boolean {
    const waiting = this.context.jobs.get(forJobId);
    const leftS = waiting ? waitTargetLeftS(waiting, this.context.objectives, nowMs) : null;
    return leftS !== null && leftS < victim.spec.saveS + STOP_MARGIN_S && victim.spec.kind === "array";
  }
}
