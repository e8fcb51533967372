/** The field's own terms. The words on the wire are known only to the codecs beside this file. */

export type JobKind = "array" | "gang" | "service";
/** Higher runs first. */
export type Priority = 0 | 1 | 2 | 3;

export interface JobSpec {
  id: string;
  className: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Allowed machine types; null: any. */
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

export type TaskPhase = "fetching" | "waiting" | "running" | "saving" | "exited";
export type ExitCause =
  "done" | "stopped" | "peers" | "incomplete" | "error" | "no_room" | "in_use" | "unknown" | "other";

export interface TaskStatus {
  jobId: string;
  task: number;
  attempt: number;
  phase: TaskPhase;
  cause: ExitCause | null;
  saved: boolean;
}

export interface Heartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  epoch: number;
  tick: number;
  /** The highest token the worker has seen. */
  fencingToken: number;
  /** Seconds until the cloud takes the machine; null: no notice. */
  interruptionNoticeS: number | null;
  tasks: TaskStatus[];
}

export type Command =
  | { op: "start"; jobId: string; task: number; attempt: number }
  | { op: "stop"; jobId: string; task: number; attempt: number; graceS: number }
  | { op: "reap"; jobId: string; task: number; attempt: number };

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  /** Per hour, now. */
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export interface ListedMachine {
  name: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  phase: "starting" | "running" | "failed";
  ageS: number;
}

/** A report that was acknowledged and said nothing new. */
export interface UnchangedHeartbeat {
  machine: string;
  epoch: number;
  tick: number;
}

/** A report as another controller took it in, so long ago. */
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

export interface DeliveryResult {
  machine: string;
  fencingToken: number;
  /** Null: no answer, so it may be carried out at any later time. */
  status: number | null;
  neverSent: boolean;
  heartbeat: Heartbeat | null;
}
