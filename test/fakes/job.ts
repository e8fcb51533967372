/** A job as its user submitted it, and what became of it. */

/** The body of a submission, in the names of the users' interface. */
export interface JobSubmission {
  /** The job's id, chosen by its user. */
  ref: string;
  /** Class of jobs that are alike. */
  strain: string;
  /** Team. */
  crew: string;
  /** Kind of job: an array, a gang ("ensemble") or a service ("standing"). */
  form: string;
  /** Priority. */
  rank: string;
  /** Number of tasks. */
  spores: number;
  cores: number;
  gpus: number;
  memoryGb: number;
  /** Image. */
  seedstock: string;
  /** Size of the image. */
  pullGb: number;
  /** All tasks in one zone. */
  together: boolean;
  /** Tasks spread over zones. */
  scatter: boolean;
  /** May run on spot instances. */
  windfall: boolean;
  /** Estimated run time. */
  guessS: number;
  /** Time between checkpoints; 0: none. */
  cairnS: number;
  /** Time that saving a checkpoint takes. */
  stashS: number;
  /** Allowed machine types; null or absent: any. */
  breeds?: string[] | null;
  /** The zone that the job is bound to; null or absent: any. */
  patch?: string | null;
  /** Deadline, in seconds from the submission. */
  dueS?: number | null;
}

/** Phases that a job never leaves, in the names of the users' interface; "withdrawn": cancelled. */
export type FinalPhase = "done" | "withdrawn";

/** A job from its submission on, as its user and the checkers of the rules see it. */
export interface SimJob {
  spec: JobSubmission;
  /** How long the first task runs; null: until the job is cancelled. */
  runS: number | null;
  /** Each task runs for so much longer than the one before it. */
  runStepS: number;
  submittedAtMs: number;
  /** A controller has confirmed the submission. */
  isAccepted: boolean;
  /** The final phase that a controller reported to the user; null: none yet. */
  finalPhase: FinalPhase | null;
  finalPhaseAtMs: number;
  isCancelRequested: boolean;
  /** Names of the tasks that were completed. */
  doneTasks: Set<string>;
  /** When one of its user's status queries was last answered. */
  lastResponseAtMs: number;
  /** When the first of its tasks started; null: none did. */
  firstStartAtMs: number | null;
  /** Since when it waits though there is room for it; null: it does not. */
  waitingSinceMs: number | null;
}

/** The id of the job that a task belongs to; tasks are named `job/index`. */
export function jobIdOf(taskName: string): string {
  return taskName.split("/")[0]!;
}
