/**
 * Snapshot types for the scheduling decisions, which are pure apart from these views. The scheduler provides the views
 * for each cycle, and decisions modify them: planning a task subtracts its resources from the view.
 */
import type { JobSpec, MachineType } from "../../protocol/model.js";
import type { Resources } from "../../bookkeeping/resources.js";

/** A running task that may be preempted individually. */
export interface VictimView {
  /** Opaque handle of the attempt, which decisions return unchanged in evictions. */
  ref: unknown;
  jobId: string;
  team: string;
  priority: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Returns the seconds of work lost by stopping the task now; Infinity if it may not be stopped. */
  lossS: (nowMs: number) => number;
}

/** The state of a machine within one scheduling cycle. */
export interface MachineView {
  name: string;
  type: MachineType;
  zone: string;
  spot: boolean;
  free: Resources;
  /** Resources of tasks that are being stopped; not part of `free` until the tasks have ended. */
  stopping: Resources;
  images: Set<string>;
  /** Images that are being fetched; a task that needs one of them starts no fetch of its own. */
  fetching: Set<string>;
  /** Size of the pending image fetches, in GB. */
  fetchBacklogGb: number;
  /**
   * True if a controller runs in the machine's zone, so a network partition between zones does not cut off heartbeats.
   */
  zoneHasController: boolean;
  /** Highest priority of the machine's tasks that wait for an image fetch; -1 if there are none. */
  fetchPriority: number;
  /**
   * Reserved resources, the job that holds them, and the seconds until its expected start; null if none are reserved.
   */
  reserved: { jobId: string; amount: Resources; etaS: number } | null;
  /** Returns the possible victims. They are computed on the first call because most cycles preempt nothing. */
  victims: () => VictimView[];
  /** Resources to keep free for GPU jobs with each free GPU; null if no GPU job may be placed here. */
  acceleratorReserve: AcceleratorReserve | null;
  /** True if a GPU task runs on the machine, which is then paid for regardless of other tasks. */
  runsGpuWork: boolean;
  /** Steady time since which the machine has had no attempts; null if it has attempts or is not up. */
  idleSinceMs: number | null;
  /** Returns the expected seconds until all tasks on the machine have ended. */
  timeUntilIdleS: (nowMs: number) => number;
}

/** Highest CPU and memory demand per GPU of the GPU jobs seen so far. */
export interface AcceleratorReserve {
  cpus: number;
  memoryGb: number;
}

/** Returns the view of an unnamed, empty machine, as it will be after booting. */
export function emptyMachineView(
  type: MachineType,
  zone: string,
  spot: boolean,
  acceleratorReserve: AcceleratorReserve | null,
): MachineView {
  return {
    name: "",
    type,
    zone,
    spot,
    free: { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb },
    stopping: { cpus: 0, gpus: 0, memoryGb: 0 },
    images: new Set(),
    fetching: new Set(),
    fetchBacklogGb: 0,
    fetchPriority: -1,
    zoneHasController: true,
    reserved: null,
    victims: () => [],
    acceleratorReserve,
    runsGpuWork: false,
    idleSinceMs: null,
    timeUntilIdleS: () => 0,
  };
}

/** The state of a job within one scheduling cycle. */
export interface JobView {
  spec: JobSpec;
  /** Number of tasks without a result or an attempt. */
  pendingTasks: number;
  /** Maximum number of tasks to place in this cycle; a large job that has waited long starts with a few tasks. */
  taskLimit: number;
  /** Number of tasks to place before competing jobs have received their fair shares; Infinity if not limited. */
  fairShareTasks: number;
  /** True if the job is within its team's guaranteed quota. */
  isGuaranteed: boolean;
  /** Number of tasks in each zone: those that may be running, and those that the cycle has planned or reserved. */
  tasksByZone: Map<string, number>;
  /** Names of the machines on which the job recently failed. */
  avoidedMachines: Set<string>;
  /** Seconds that tasks may still wait to start without missing their class's wait objective; null if none applies. */
  waitTargetLeftS: number | null;
  /** Name of the machine to which consolidation moves the job; null if there is none. */
  preferredMachine: string | null;
  /** Expected run time of one task, in seconds; Infinity for a service. */
  expectedTaskRunTimeS: number;
  /** True if the job has waited so long that capacity is reserved for it as it becomes available. */
  isStarving: boolean;
}

/**
 * The teams' quotas within one scheduling cycle (rule `quota`). All results are numbers of tasks with the shape of the
 * given job.
 */
export interface QuotaView {
  /** Returns the number of tasks that the team may start now. */
  headroom(spec: JobSpec): number;
  /** Returns the number of tasks that the team may start once its stopping tasks have ended. */
  headroomAfterStops(spec: JobSpec): number;
  /**
   * Returns the number of tasks that the team may start once all tasks that end by themselves or that the job may
   * preempt have ended.
   */
  attainableHeadroom(spec: JobSpec): number;
  /** Adds tasks that the cycle plans to start to the team's planned usage. */
  recordPlannedTasks(spec: JobSpec, tasks: number): void;
}
