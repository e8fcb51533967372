/** Applies the plan of a scheduling cycle: creates planned attempts and stop requests. */
import { unsentAttempt } from "../../bookkeeping/unsentAttempt.js";
import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import type { Objective } from "../../settings/platform.js";
import { log, quoteName } from "../../transport/log.js";
import type { Attempts } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { WriteRequests } from "../term/writeQueue.js";
import { waitTargetLeftS } from "./objectiveTargets.js";
import type { Placement, PlacementPlan } from "./placementPlan.js";

/** Time that a stop with a checkpoint takes in addition to saving the checkpoint. */
const STOP_MARGIN_S = 1;

/** Components of the leader's term that plan execution uses. */
export interface PlanExecutorContext {
  jobs: JobRegistry;
  machines: MachineRegistry;
  attempts: Attempts;
  writes: WriteRequests;
  objectives: Objective[];
}

/** Turns placements into planned attempts, and evictions into stop requests. Planned attempts are sent once durable. */
export class PlanExecutor {
  constructor(private readonly context: PlanExecutorContext) {}

  /** Applies the plan. Starts are sent only after their attempts are durable, so a write is requested without delay. */
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
    log.debug(() => `${job.id}: placed ${tasks} tasks on ${quoteName(machine.name)}`);
  }

  private planAttempt(job: Job, task: number, machine: Machine, nowMs: number): void {
    const chunk = job.getOrCreateChunk(task);
    const number = this.attemptNumber(job);
    this.context.attempts.attach(unsentAttempt({ job, task, number, machine }, nowMs));
    chunk.isDirty = true;
    chunk.isUrgent = true;
  }

  /**
   * Returns a new attempt number, or the gang's current one: gang members find their peers by a shared attempt number.
   */
  private attemptNumber(job: Job): number {
    if (job.spec.kind === "gang") for (const { number } of job.attempts) return number;
    return this.context.attempts.nextNumber();
  }

  private evict(attempt: Attempt, forJobId: string, nowMs: number): void {
    const { job, machine } = attempt;
    if (attempt.stop || !machine.attempts.has(attempt)) return;
    log.debug(() => `${job.id}/${attempt.task}: preempted on ${quoteName(machine.name)} for ${forJobId}`);
    if (this.mustStopImmediately(job, forJobId, nowMs)) this.context.attempts.stopAttempt(attempt, 0);
    else this.context.attempts.stopGracefully(attempt);
  }

  /**
   * Returns true if the victim is an array task whose checkpoint would take longer than the waiting job's wait objective
   * allows. The victim then loses the work since its last checkpoint.
   */
  private mustStopImmediately(victim: Job, forJobId: string, nowMs: number): boolean {
    const waiting = this.context.jobs.get(forJobId);
    const leftS = waiting ? waitTargetLeftS(waiting, this.context.objectives, nowMs) : null;
    return leftS !== null && leftS < victim.spec.saveS + STOP_MARGIN_S && victim.spec.kind === "array";
  }
}
