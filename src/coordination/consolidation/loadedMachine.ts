/** What a round of consolidation sees, and what it decides. */
import type { Resources } from "../../bookkeeping/resources.js";

/** A running task as a round of consolidation sees it. */
export interface LoadedTask extends Resources {
  /** Number by which the caller finds the attempt again. */
  ref: number;
  jobId: string;
  /** It can be stopped at little cost: it saves its progress, or has run for less than a round. */
  isMovable: boolean;
  /** May it run on that machine, given what its job asks for and where the job's other tasks are? */
  canMoveTo: (machine: string) => boolean;
}

/** A machine as a round of consolidation sees it. */
export interface LoadedMachine {
  name: string;
  capacity: Resources;
  tasks: LoadedTask[];
  /** Tasks may be moved to it. */
  acceptsTasks: boolean;
}

/** A machine with the load that its worker measured. */
export interface MeasuredMachine extends LoadedMachine {
  /** Share of its capacity that the tasks in its heartbeat use, which can be more than was asked for. */
  measuredLoad: number;
  /** Share of its capacity that the tasks ask for which are planned there. */
  requestedLoad: number;
}

/** A task that leaves one machine for another. Stored as it is: its fields keep their names. */
export interface Move {
  ref: number;
  from: string;
  to: string;
}
