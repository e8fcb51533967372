/** Exit codes of the process. Scripts depend on them. */
export const ExitCode = {
  done: 0,
  /** The service rejected the request or failed. */
  failed: 1,
  /** Invalid usage or invalid settings. */
  usage: 2,
} as const;

/** One of the exit codes above. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
