/** What a scheduling cycle is given and what it decides. */
import type { JobSpec } from "../../protocol/model.js";
import type { JobView, MachineView, QuotaView } from "./views.js";

export interface Placement {
  jobId: string;
  machine: string;
  tasks: number;
}

/** Room that is kept for a job: others were stopped for it, or the rest of its gang is still to come. */
export interface Reservation {
  jobId: string;
  machine: string;
  tasks: number;
  etaS: number;
}

export interface PlacementPlan {
  placements: Placement[];
  /** Attempts to stop (their `ref`), and for whom. */
  evictions: { ref: unknown; jobId: string }[];
  /** What found no place on a machine that is up; a gang's rest is wanted in that zone. */
  unplaced: { job: JobView; tasks: number; zone: string | null }[];
  /** What the next cycle should keep, in place of what this one was given. */
  reservations: Reservation[];
  /** Views that were written on. */
  modifiedMachines: Set<MachineView>;
  /** Machines looked at: what a cycle costs. */
  machinesExamined: number;
}

export interface PlacementInput {
  /** In the order in which they are to be served. */
  jobs: JobView[];
  /** Up, and to be trusted with new work. */
  machines: MachineView[];
  /** On their way; a gang counts on them. */
  incoming: MachineView[];
  reservations: Reservation[];
  quota: QuotaView;
  maxEvictions: number;
  /** Jobs that room may be made for in one cycle. */
  maxPreemptors: number;
  /** False when nothing runs that could be stopped for it. */
  canPreemptFor: (job: JobView) => boolean;
  /** The cloud has lately had nothing there for it. */
  isRefused: (spec: JobSpec, zone: string) => boolean;
  isGuaranteed: (jobId: string) => boolean;
  /** How often a spot machine is taken in an hour, as seen so far. */
  interruptionsPerHour: number;
  nowMs: number;
}
