/** The types that all layers share, in the scheduler's terms. Only the codecs in this folder know the wire names. */

/** An array of independent tasks, a gang whose tasks run at the same time, or a service that runs until cancelled. */
export type JobKind = "array" | "gang" | "service";
/** The priority of a job; a higher number runs first. */
export type Priority = 0 | 1 | 2 | 3;

/** A job as its user specified it. The field names are part of the record format in the state store. */
export interface JobSpec {
  id: string;
  /** The job class. Jobs of one class have similar run times, which are estimated together. */
  className: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  /** Number of tasks; each of them requires `cpus`, `gpus` and `memoryGb`. */
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** The names of the allowed machine types, or null if all are allowed. */
  types: string[] | null;
  /** The only allowed zone, or null if all are allowed. */
  zone: string | null;
  /** All tasks must run in the same zone. */
  oneZone: boolean;
  /** No zone may run more than half of the tasks, rounded up. */
  spread: boolean;
  /** The tasks may run on spot instances. */
  spot: boolean;
  /** The user's estimate of a task's run time, in seconds. */
  estimateS: number;
  /** Time between two checkpoints, in seconds; 0 if the tasks write none. */
  checkpointS: number;
  /** Time that it takes to write a checkpoint, in seconds. */
  saveS: number;
  /** Deadline, in seconds after the job was accepted; null if it has none. */
  deadlineS: number | null;
}

/** The phase of an attempt. `waiting`: ready, while its gang is not; `saving`: writing a checkpoint before it stops. */
export type TaskPhase = "fetching" | "waiting" | "running" | "saving" | "exited";
/** The reason why an attempt ended, as its worker reports it; `other` is a cause that this version does not know. */
export type ExitCause =
  "done" | "stopped" | "peers" | "incomplete" | "error" | "no_room" | "in_use" | "unknown" | "other";

/** The status of one attempt at a task, as a worker reports it. */
export interface TaskStatus {
  jobId: string;
  /** The index of the task within its job, from 0. */
  task: number;
  attempt: number;
  phase: TaskPhase;
  /** The reason why the attempt ended, or null if it has not exited. */
  cause: ExitCause | null;
  /** The attempt wrote a checkpoint before it exited. */
  checkpointSaved: boolean;
}

/** The zone of a machine whose zone is not known: it may be in any zone. */
export const UNKNOWN_ZONE = "";

/** A worker's heartbeat: the attributes of its machine, and the status of each attempt on it. */
export interface Heartbeat {
  machine: string;
  /** The address at which the worker accepts commands, as `host:port`; empty if the worker did not report it. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** The worker's epoch, which increases with each restart of the worker. */
  epoch: number;
  /** The sequence number of the heartbeat within the epoch. */
  tick: number;
  /** The highest fencing token that the worker has seen. */
  fencingToken: number;
  /** Seconds until the cloud's spot interruption of the machine, or null without an interruption notice. */
  interruptionNoticeS: number | null;
  tasks: TaskStatus[];
}

/** A command to a worker that concerns one attempt at a task. */
export type Command =
  | { op: "start"; jobId: string; task: number; attempt: number }
  /** Stops the attempt; it has `graceS` seconds to write a checkpoint. */
  | { op: "stop"; jobId: string; task: number; attempt: number; graceS: number }
  /** Removes an exited attempt from the worker's state. */
  | { op: "reap"; jobId: string; task: number; attempt: number };

/** A machine type that the cloud offers. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  /** The rate at which images are fetched, in GB per second. */
  fetchGbPerS: number;
  /** The current price per hour. */
  price: number;
  /** The current price per hour as a spot instance. */
  spotPrice: number;
  /** The usual time from the creation of a machine until it runs, in seconds. */
  bootS: number;
  zones: string[];
}

/** A machine in the list that the cloud returns. */
export interface ListedMachine {
  name: string;
  /** The address of the machine's worker, as `host:port`; empty until the machine runs. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  phase: "starting" | "running" | "failed";
  ageS: number;
}

/** An acknowledged heartbeat that differs from the worker's previous one only in its tick. */
export interface UnchangedHeartbeat {
  machine: string;
  epoch: number;
  tick: number;
}

/** A heartbeat that a controller forwards to the leader. */
export interface ReceivedHeartbeat {
  /** Time between the receipt of the heartbeat and the update that forwards it. */
  ageMs: number;
  heartbeat: Heartbeat;
}

/** Commands to one worker, with the fencing token and epoch for which they are valid. */
export interface CommandDelivery {
  machine: string;
  address: string;
  fencingToken: number;
  epoch: number;
  commands: Command[];
}

/** The result of a delivery of commands. */
export interface DeliveryResult {
  machine: string;
  fencingToken: number;
  /** HTTP status, or null without a response: the worker may then execute the commands later, unless `neverSent`. */
  status: number | null;
  /** The request was not sent, so the worker can't execute the commands. */
  neverSent: boolean;
  /** The worker's heartbeat from the response, or null if the response contains none. */
  heartbeat: Heartbeat | null;
}
