/** What a scheduling cycle is given, and what it decides. */
import type { JobSpec } from "../../protocol/model.js";
import type { JobView, MachineView, QuotaView } from "./views.js";

/** Tasks of a job that start on a machine now. */
export interface Placement {
  jobId: string;
  machine: string;
  tasks: number;
}

/** Room on a machine that is kept for a job: others were stopped for it, or the rest of its gang is still to come. */
export interface Reservation {
  jobId: string;
  machine: string;
  tasks: number;
  /** Seconds until the job is expected to begin: tasks that end sooner may borrow the room. */
  etaS: number;
}

/** A running task that is stopped in favour of a job. */
export interface Eviction {
  /** The `ref` of the victim's view. */
  ref: unknown;
  /** The job that gets the room. */
  jobId: string;
}

/** Tasks that found no room on a machine that is up. */
export interface UnplacedTasks {
  job: JobView;
  tasks: number;
  /** Where the rest of a gang has to go; null: anywhere that the job allows. */
  zone: string | null;
}

/** What a cycle decides. */
export interface PlacementPlan {
  placements: Placement[];
  evictions: Eviction[];
  unplaced: UnplacedTasks[];
  /** What the next cycle should keep, in place of what this one was given. */
  reservations: Reservation[];
  /** Views that were written on: they no longer show the machines as they are. */
  modifiedMachines: Set<MachineView>;
  /** Machines that were examined, each time counted: what the cycle has cost. */
  machinesExamined: number;
}

/** What a cycle is given; it writes on the views. */
export interface PlacementInput {
  /** In the order of service. */
  jobs: JobView[];
  /** Up, and fit to be given new work. */
  machines: MachineView[];
  /** On their way; a gang counts on them. */
  incoming: MachineView[];
  reservations: Reservation[];
  quota: QuotaView;
  /** Tasks that one cycle may stop at the most. */
  maxEvictions: number;
  /** Jobs for which one cycle looks for tasks to stop at the most. */
  maxPreemptors: number;
  /** False when nothing runs that could be stopped for the job. */
  canPreemptFor: (job: JobView) => boolean;
  /** The cloud has lately had no capacity in that zone that the job could use. */
  isRefused: (spec: JobSpec, zone: string) => boolean;
  /** The running job falls within its team's guaranteed quota. */
  isGuaranteed: (jobId: string) => boolean;
  /** How often a spot instance is interrupted in an hour, as observed so far. */
  interruptionsPerHour: number;
  nowMs: number;
}
