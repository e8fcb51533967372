/** Whether a load balancer should send users' requests to this controller. */
import type { StateStoreClient } from "../bookkeeping/stateStoreClient.js";

/** Refused by the state store for so long, a controller counts as cut off from it. */
const CUT_OFF_MS = 4000;
/** The leader's word that the state store serves it counts for so long. */
const LEADER_SERVED_MS = 1200;

/**
 * Ready when requests can be decided here. A controller that the state store refuses alone turns users away; in an outage
 * that hits all controllers that would help nobody, and the load balancer would leave all of them out for long after it.
 */
export class Readiness {
  private hasMachineTypes = false;
  private leaderServedMs = -Infinity;

  constructor(private readonly stateStore: Pick<StateStoreClient, "lastServedSentMs" | "lastRefusedMs">) {}

  machineTypesKnown(): void {
    this.hasMachineTypes = true;
  }

  /** The leader has said that the state store serves it. */
  leaderServed(nowMs: number): void {
    this.leaderServedMs = nowMs;
  }

  isReady(nowMs: number): boolean {
    if (!this.hasMachineTypes) return false;
    const { lastServedSentMs, lastRefusedMs } = this.stateStore;
    const refusedForMs = lastRefusedMs > lastServedSentMs ? nowMs - lastServedSentMs : 0;
    const isCutOffAlone = refusedForMs > CUT_OFF_MS && nowMs - this.leaderServedMs < LEADER_SERVED_MS;
    return !isCutOffAlone;
  }
}
