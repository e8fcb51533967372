/** Readiness: whether a load balancer should send users' requests to this controller. */
import type { StateStoreClient } from "../bookkeeping/stateStoreClient.js";

/** A controller whose state store requests have failed for longer than this counts as cut off from the store. */
const CUT_OFF_THRESHOLD_MS = 4000;
/** Validity of the leader's last report that the state store serves it. */
const LEADER_SERVED_VALIDITY_MS = 1200;

/**
 * A controller is ready once it knows the machine types, unless it alone is cut off from the state store. In an outage that
 * affects all controllers it stays ready: other controllers could not help, and the load balancer would keep all of them
 * out of rotation long after the outage.
 */
export class Readiness {
  private hasMachineTypes = false;
  private leaderServedAtMs = -Infinity;

  constructor(
    private readonly stateStore: Pick<StateStoreClient, "lastServedRequestSentMs" | "lastRefusedMs">,
  ) {}

  setMachineTypesKnown(): void {
    this.hasMachineTypes = true;
  }

  /** Records that the leader has reported the state store as reachable. */
  recordLeaderServed(nowMs: number): void {
    this.leaderServedAtMs = nowMs;
  }

  isReady(nowMs: number): boolean {
    if (!this.hasMachineTypes) return false;
    const { lastServedRequestSentMs, lastRefusedMs } = this.stateStore;
    const refusedForMs = lastRefusedMs > lastServedRequestSentMs ? nowMs - lastServedRequestSentMs : 0;
    const onlyThisNodeIsCutOff =
      refusedForMs > CUT_OFF_THRESHOLD_MS && nowMs - this.leaderServedAtMs < LEADER_SERVED_VALIDITY_MS;
    return !onlyThisNodeIsCutOff;
  }
}
