/** Input and output types of a scheduling cycle. */
import type { JobSpec } from "../../protocol/model.js";
import type { JobView, MachineView, QuotaView } from "./views.js";

/** A number of a job's tasks to start on a machine now. */
export interface Placement {
  jobId: string;
  machine: string;
  tasks: number;
}

/** Machine capacity held for a job until preempted tasks stop, or until its gang has enough quota and machines. */
export interface Reservation {
  jobId: string;
  machine: string;
  tasks: number;
  /** Seconds until the job is expected to start; tasks that end sooner may backfill the capacity. */
  etaS: number;
}

/** The decision to stop a running task in favor of a job. */
export interface Eviction {
  /** The `ref` of the task's `VictimView`. */
  ref: unknown;
  /** The job that gets the freed resources or quota. */
  jobId: string;
}

/** Tasks that the cycle could not place, which may require scale-out. */
export interface UnplacedTasks {
  job: JobView;
  tasks: number;
  /** The zone that the rest of a gang needs, or null for any zone that the job allows. */
  zone: string | null;
}

/** The decisions of a scheduling cycle. */
export interface PlacementPlan {
  placements: Placement[];
  evictions: Eviction[];
  unplaced: UnplacedTasks[];
  /** The complete set of reservations for the next cycle; it replaces `PlacementInput.reservations`. */
  reservations: Reservation[];
  /** Views that the cycle changed and that therefore no longer reflect the actual state of their machines. */
  modifiedMachines: Set<MachineView>;
  /** Number of machine examinations, a measure of the cycle's cost; repeated examinations of a machine all count. */
  machinesExamined: number;
}

/** The input of a scheduling cycle. The cycle modifies the views in it. */
export interface PlacementInput {
  /** Waiting jobs in the order in which they are placed. */
  jobs: JobView[];
  /** Machines that are up and may get new tasks. */
  machines: MachineView[];
  /** Machines that are booting or ordered; gangs may claim their capacity. */
  incoming: MachineView[];
  reservations: Reservation[];
  quota: QuotaView;
  /** Maximum number of tasks that one cycle stops. */
  maxEvictions: number;
  /** Maximum number of victim searches per cycle, for machine capacity and for quota together. */
  maxVictimSearches: number;
  /** Returns false if no running task may be stopped for the job. */
  canPreemptFor: (job: JobView) => boolean;
  /** Returns true if the cloud recently refused every kind of machine in the zone that the job could use. */
  isCapacityRefused: (spec: JobSpec, zone: string) => boolean;
  /** Returns true if the running job is within its team's guaranteed quota. */
  isGuaranteed: (jobId: string) => boolean;
  /** Observed interruptions of one spot instance per hour. */
  interruptionsPerHour: number;
  nowMs: number;
}
