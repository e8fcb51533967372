/** Input and output types of the consolidation plans. */
import type { Resources } from "../../bookkeeping/resources.js";

/** A task in the snapshot of a consolidation round. */
export interface TaskSnapshot extends Resources {
  /** Index of the attempt in `ConsolidationSnapshot.attempts`. */
  ref: number;
  jobId: string;
  /**
   * Whether the task may be moved: its machine's state is current and a stop costs little, since the task writes
   * checkpoints or has run for less than a round interval.
   */
  isMovable: boolean;
  /** Whether the placement rules allow the task on the named machine, given the zones of the job's other tasks. */
  canMoveTo: (machine: string) => boolean;
}

/** A machine in the snapshot of a consolidation round. */
export interface MachineSnapshot {
  name: string;
  capacity: Resources;
  tasks: TaskSnapshot[];
  /** Whether tasks may be moved to the machine. */
  acceptsTasks: boolean;
}

/** A machine with the load of its reported tasks and that of its planned tasks. */
export interface MachineLoadSnapshot extends MachineSnapshot {
  /** Load of the tasks in the machine's newest heartbeat, which may exceed the load of the planned tasks. */
  reportedLoad: number;
  /** Load of the tasks that are planned on the machine. */
  plannedLoad: number;
}

/** The move of a task between two machines. It is stored as it is, so its field names are part of the stored form. */
export interface Move {
  /** The `ref` of the task. */
  ref: number;
  from: string;
  to: string;
}
