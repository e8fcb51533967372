/** The submission and the observed state of a job in a simulated region. */

/** The body of a job submission, with the field names of the users' API. */
export interface JobSubmission {
  /** The job's id, chosen by its user. */
  ref: string;
  /** Job class, which groups similar jobs. */
  strain: string;
  /** Team that the job belongs to. */
  crew: string;
  /** Kind of job: an array, a gang ("ensemble") or a service ("standing"). */
  form: string;
  /** Priority: "best_effort", "standard", "high" or "prod". */
  rank: string;
  /** Number of tasks. */
  spores: number;
  cores: number;
  gpus: number;
  memoryGb: number;
  /** Name of the container image. */
  seedstock: string;
  /** Size of the image, in GB. */
  pullGb: number;
  /** Whether all tasks have to run in the same zone. */
  together: boolean;
  /** Whether the tasks have to be spread over zones. */
  scatter: boolean;
  /** Whether the tasks may run on spot instances. */
  windfall: boolean;
  /** Estimated run time, in seconds. */
  guessS: number;
  /** Interval between checkpoints, in seconds; 0 if the job takes none. */
  cairnS: number;
  /** Time that saving a checkpoint takes, in seconds. */
  stashS: number;
  /** Allowed machine types; null or absent if all are allowed. */
  breeds?: string[] | null;
  /** Zone in which all tasks have to run; null or absent if all zones are allowed. */
  patch?: string | null;
  /** Deadline, in seconds after the submission; null or absent if there is none. */
  dueS?: number | null;
}

/** The terminal phases of a job, as named in the users' API; "withdrawn" means cancelled. */
export type FinalPhase = "done" | "withdrawn";

/** A submitted job, with the state that its user and the rule checkers have observed. */
export interface SimJob {
  spec: JobSubmission;
  /** Run time of the first task, in seconds; null if the tasks run until the job is cancelled. */
  runTimeS: number | null;
  /** Difference in run time between consecutive tasks, in seconds. */
  runTimeStepS: number;
  submittedAtMs: number;
  /** Whether a controller has confirmed the submission. */
  isAccepted: boolean;
  /** The final phase that a controller reported to the user, or null if none was reported. */
  finalPhase: FinalPhase | null;
  /** Time at which the final phase was reported; Infinity if none was. */
  finalPhaseAtMs: number;
  isCancelRequested: boolean;
  /** Names of the completed tasks. */
  doneTasks: Set<string>;
  /**
   * Time of the last response to a periodic status query; initially the time of the submission. Reporting a `forgotten`
   * violation resets it to the current time.
   */
  lastResponseAtMs: number;
  /** Time at which a task of the job first started, or null if none has. */
  firstStartAtMs: number | null;
  /** Time since which tasks have waited although capacity for them is free, or null if that is not the case. */
  waitingSinceMs: number | null;
}

/** Returns the id of the job that a task belongs to; task names have the form `job/index`. */
export function jobIdOf(taskName: string): string {
  return taskName.split("/")[0]!;
}
