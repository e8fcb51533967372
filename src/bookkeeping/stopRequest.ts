/** The leader's decision to stop an attempt. */
export interface StopRequest {
  /** Monotonic time of the decision, in milliseconds. */
  sinceMs: number;
  /** Grace period in which the task may save its state, in seconds. */
  graceS: number;
  /** Whether a stop command has been sent. */
  isSent: boolean;
  /** Monotonic time of the last stop command, in milliseconds; -Infinity if none has been sent. */
  lastSentMs: number;
}

/** Creates a stop request that has not been sent yet. */
export function newStopRequest(nowMs: number, graceS: number): StopRequest {
  return { sinceMs: nowMs, graceS, isSent: false, lastSentMs: -Infinity };
}
