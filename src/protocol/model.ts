/** The types that all layers share, in the scheduler's own terms. Words of the wire are known only to the codecs beside. */

/** An array of independent tasks, a gang whose tasks run together, or a service that runs until it is cancelled. */
export type JobKind = "array" | "gang" | "service";
/** Higher runs first. */
export type Priority = 0 | 1 | 2 | 3;

/** A job as its user described it. Stored as it is: its field names are part of the stored form. */
export interface JobSpec {
  id: string;
  /** Jobs of one class run alike: their run times are estimated together. */
  className: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  /** Number of tasks; each of them takes the resources below. */
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Allowed machine types; null: any. */
  types: string[] | null;
  /** The only allowed zone; null: any. */
  zone: string | null;
  /** All tasks in the same zone. */
  oneZone: boolean;
  /** No zone takes more than half of the tasks, rounded up. */
  spread: boolean;
  /** Allowed on spot instances. */
  spot: boolean;
  /** The user's estimate of a task's run time. */
  estimateS: number;
  /** Time between two checkpoints; 0: none. */
  checkpointS: number;
  /** Time that a checkpoint takes. */
  saveS: number;
  /** From acceptance; null: none. */
  deadlineS: number | null;
}

/** "waiting": ready, until the whole gang is; "saving": writing a checkpoint before it stops. */
export type TaskPhase = "fetching" | "waiting" | "running" | "saving" | "exited";
/** Why an attempt ended, as its worker says. */
export type ExitCause =
  "done" | "stopped" | "peers" | "incomplete" | "error" | "no_room" | "in_use" | "unknown" | "other";

/** One attempt at a task, as a worker reports it. */
export interface TaskStatus {
  jobId: string;
  /** Number within the job, from 0. */
  task: number;
  attempt: number;
  phase: TaskPhase;
  /** Null unless it has exited. */
  cause: ExitCause | null;
  /** A checkpoint was written on its way out. */
  saved: boolean;
}

/** A worker's heartbeat: what its machine is, and the status of each of its tasks. */
export interface Heartbeat {
  machine: string;
  /** Host and port at which the worker takes commands. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Higher after each restart of the worker. */
  epoch: number;
  /** One more in each heartbeat of an epoch. */
  tick: number;
  /** The highest token the worker has seen. */
  fencingToken: number;
  /** Seconds until the cloud interrupts the machine; null: no notice. */
  interruptionNoticeS: number | null;
  tasks: TaskStatus[];
}

/** What a worker is told to do with one attempt of a task. */
export type Command =
  | { op: "start"; jobId: string; task: number; attempt: number }
  /** The task has so long to write a checkpoint. */
  | { op: "stop"; jobId: string; task: number; attempt: number; graceS: number }
  /** Forget an attempt that has exited. */
  | { op: "reap"; jobId: string; task: number; attempt: number };

/** A kind of machine that the cloud offers. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  /** How fast images are fetched. */
  fetchGbPerS: number;
  /** Per hour, at present. */
  price: number;
  /** Per hour, at present, as a spot instance. */
  spotPrice: number;
  /** Usual time from a machine's creation until it runs. */
  bootS: number;
  zones: string[];
}

/** A machine in the cloud's own list. */
export interface ListedMachine {
  name: string;
  /** Empty until it runs. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  phase: "starting" | "running" | "failed";
  ageS: number;
}

/** A heartbeat that was acknowledged and differs from the worker's last one in nothing but the tick. */
export interface UnchangedHeartbeat {
  machine: string;
  epoch: number;
  tick: number;
}

/** A heartbeat that another controller received, so long before it passed it on. */
export interface ReceivedHeartbeat {
  ageMs: number;
  heartbeat: Heartbeat;
}

/** Commands on their way to a worker. */
export interface CommandDelivery {
  machine: string;
  address: string;
  fencingToken: number;
  epoch: number;
  commands: Command[];
}

/** What became of a delivery of commands. */
export interface DeliveryResult {
  machine: string;
  fencingToken: number;
  /** HTTP status; null: no response, so the commands may be carried out at any later time, unless `neverSent`. */
  status: number | null;
  neverSent: boolean;
  /** The worker's heartbeat that came with the response, if any. */
  heartbeat: Heartbeat | null;
}
