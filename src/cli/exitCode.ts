/** What the process's exit code says; scripts rely on it. */
export const ExitCode = {
  done: 0,
  /** The service refused the request or failed. */
  failed: 1,
  /** Wrong usage or wrong settings. */
  usage: 2,
} as const;

/** One of the exit codes above. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
