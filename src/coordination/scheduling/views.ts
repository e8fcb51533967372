/**
 * Snapshots that the pure scheduling decisions work on. The scheduler builds them for each cycle, and decisions may
 * write on them: they plan by taking room out of the snapshots.
 */
import type { JobSpec, MachineType } from "../../protocol/model.js";
import type { Resources } from "../../bookkeeping/resources.js";

/** A running task that may be stopped on its own to make room. */
export interface VictimView {
  /** The scheduler's handle of the attempt; decisions pass it back unread. */
  ref: unknown;
  jobId: string;
  team: string;
  priority: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Seconds of work lost by stopping it now. */
  lossS: (nowMs: number) => number;
}

/** A machine as one scheduling cycle sees it. */
export interface MachineView {
  name: string;
  type: MachineType;
  zone: string;
  spot: boolean;
  free: Resources;
  /** Resources of tasks that are being stopped: free soon, but not yet. */
  stopping: Resources;
  images: Set<string>;
  /** Images on their way: a task can wait for one of them without a fetch of its own. */
  fetching: Set<string>;
  backlogGb: number;
  /** A controller runs in its zone, so that a network partition between zones doesn't cut off its heartbeats. */
  zoneHasController: boolean;
  /** Highest priority of the tasks there that wait for an image fetch; -1: none. */
  fetchPriority: number;
  /** Resources that a reservation keeps, for which job, and in how many seconds that job expects to begin. */
  reserved: { jobId: string; amount: Resources; etaS: number } | null;
  /** Built on the first call only: most cycles stop nothing. */
  victims: () => VictimView[];
  /** What each of its accelerators has to keep beside it for GPU work; null: no GPU work may be placed here. */
  acceleratorReserve: AcceleratorReserve | null;
  /** GPU work runs here now, so the machine is paid for anyway. */
  runsGpuWork: boolean;
  /** Since when it has had no attempts; null: it has some, or it is not up. */
  idleSinceMs: number | null;
  /** Seconds until everything that runs here is expected to have ended. */
  freeInS: (nowMs: number) => number;
}

/** The most that GPU jobs seen so far need for each accelerator. */
export interface AcceleratorReserve {
  cpus: number;
  memoryGb: number;
}

/** A machine with nothing on it, as it will be once it has booted. */
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
    backlogGb: 0,
    fetchPriority: -1,
    zoneHasController: true,
    reserved: null,
    victims: () => [],
    acceleratorReserve,
    runsGpuWork: false,
    idleSinceMs: null,
    freeInS: () => 0,
  };
}

/** A job as one scheduling cycle sees it. */
export interface JobView {
  spec: JobSpec;
  /** Tasks without result or attempt. */
  pending: number;
  /** The most tasks to place in this cycle: a large job that has waited long begins with a few. */
  taskLimit: number;
  /** Of these, the tasks to place before other jobs of its kind have their fair share. */
  fairShareTasks: number;
  /** It falls within its team's guaranteed quota. */
  isGuaranteed: boolean;
  /** Attempts that may be running, by zone. */
  zones: Map<string, number>;
  /** Machines that it has lately failed on. */
  avoid: Set<string>;
  /** Seconds that its tasks may still wait for a start without missing their class's objective; null: none applies. */
  waitTargetLeftS: number | null;
  /** Machine that consolidation moves it to; null: any. */
  preferredMachine: string | null;
  /** Seconds that one of its tasks is expected to run; Infinity: a service. */
  taskS: number;
  /** It has waited so long that room is reserved for it piece by piece. */
  isStarving: boolean;
}

/** The teams' limits as one scheduling cycle sees them (rule `quota`); counts are of tasks of the given job's shape. */
export interface QuotaView {
  /** Tasks that the team may still start. */
  room(spec: JobSpec): number;
  /** Tasks that the team may start once its tasks that are being stopped have ended. */
  roomWhenStopped(spec: JobSpec): number;
  /** Tasks that the team may start once all its work has ended that ends by itself or may be stopped for the job. */
  attainable(spec: JobSpec): number;
  /** Counts tasks that the cycle plans to start. */
  take(spec: JobSpec, tasks: number): void;
}
