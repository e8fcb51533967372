/**
 * Tracks the fencing tokens between a term's leader and one worker. The worker rejects commands with a lower token than
 * the highest one that it has seen, and reports that token in each heartbeat. A reported token that only this leader's
 * commands carry proves that commands reach the worker; a heartbeat alone proves only the opposite direction.
 */
export class FencedWorker {
  /** Highest token that the worker had seen when it sent its newest heartbeat. */
  seenToken = 0;
  /** Fencing token of the next commands; no other leader uses it. */
  fencingToken: number;
  /** Highest token of a start command sent to the worker; -1 if none has been sent. */
  lastStartToken = -1;
  /** Lowest seen token with which the worker counts as reachable. */
  requiredToken: number;
  /** Monotonic time since which commands do not reach the worker, in milliseconds; -Infinity if never set. */
  unreachableSinceMs = -Infinity;

  /**
   * A new leader requires a token of its own term from each worker, so that a delayed copy of an old heartbeat does not
   * make the worker count as reachable.
   */
  constructor(firstTokenOfTerm: number) {
    this.fencingToken = firstTokenOfTerm;
    this.requiredToken = firstTokenOfTerm;
  }

  /** Whether the worker has reported a token that proves that this leader's commands reach it. */
  get isReachable(): boolean {
    return this.seenToken >= this.requiredToken;
  }

  /** Raises the token to one that the worker has never seen, so that it then rejects start commands still in flight. */
  raiseToken(): void {
    this.fencingToken = Math.max(this.fencingToken, this.lastStartToken) + 1;
  }

  /** Handles a missing command response: the worker is unreachable until it reports a token sent from now on. */
  requireNewToken(nowMs: number): void {
    if (this.isReachable) this.unreachableSinceMs = nowMs;
    this.raiseToken();
    this.requiredToken = this.fencingToken;
  }
}
