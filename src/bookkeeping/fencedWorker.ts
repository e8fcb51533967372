/**
 * The fencing tokens between a term's leader and one worker: the worker refuses commands under a lower token than the
 * highest that it has seen, and each of its heartbeats shows that one. A token that it can only have from this leader's
 * commands proves that they reach it; a heartbeat alone proves only the other direction.
 */
export class FencedWorker {
  /** Highest token that the worker had seen when it sent its newest heartbeat. */
  seenToken = 0;
  /** Token of the next commands; only this leader uses it. */
  fencingToken: number;
  /** Highest token under which a start command was sent to it; -1: none was. */
  lastStartToken = -1;
  /** What the worker must have seen to count as reachable. */
  requiredToken: number;
  /** Since when commands do not reach it, in steady time. */
  unreachableSinceMs = -Infinity;

  /**
   * A new leader requires a token of its own term from each worker, so that a late copy of an old heartbeat makes none
   * reachable.
   */
  constructor(firstTokenOfTerm: number) {
    this.fencingToken = firstTokenOfTerm;
    this.requiredToken = firstTokenOfTerm;
  }

  /** The worker has shown that this leader's commands reach it. */
  get isReachable(): boolean {
    return this.seenToken >= this.requiredToken;
  }

  /** The next commands are sent under a token that the worker has never seen: start commands in flight are refused then. */
  raiseToken(): void {
    this.fencingToken = Math.max(this.fencingToken, this.lastStartToken) + 1;
  }

  /** A command got no response: the worker counts as reachable again once it has seen a token sent from now on. */
  requireNewToken(nowMs: number): void {
    if (this.isReachable) this.unreachableSinceMs = nowMs;
    this.raiseToken();
    this.requiredToken = this.fencingToken;
  }
}
