/** Decides what to do with a worker's heartbeat. Pure: the heartbeat server carries the decision out. */
import type { Heartbeat } from "../../protocol/model.js";
import { firstFencingToken } from "../term/fencingTokens.js";
import type { AcknowledgementRights } from "./acknowledgementRights.js";
import { isLateCopy } from "./heartbeatComparison.js";

/**
 * Without a grant for so long, workers are redirected to the leader; before that they try the next controller by
 * themselves. A grant comes within a moment, or a leader that is gone is replaced. Redirected meanwhile, all workers
 * reached the leader at once, when it has most to do, and many of their leases expired in its queue.
 */
const REDIRECT_TO_LEADER_AFTER_MS = 2500;

/** The term that a heartbeat server works in. */
export interface ServedTerm {
  /** Name of this controller. */
  readonly node: string;
  /** 0: none yet. */
  term: number;
  /** Name of the term's leader; null: not known. */
  leader: string | null;
  /** When this process first knew of the term, in steady time. */
  sinceMs: number;
}

/** What to do with a heartbeat, with what the response has to name. */
export type HeartbeatDecision =
  /** `byZoneLease`: only the lease on our own zone allows it, so that no other controller is named to the worker. */
  | { readonly kind: "acknowledge"; readonly byZoneLease: boolean }
  /** Refused without naming another controller. */
  | { readonly kind: "refuse"; readonly reason: "no right to acknowledge" | "late copy" | "quarantined" }
  /** Refused; the worker should go to that controller. */
  | { readonly kind: "redirect"; readonly to: string }
  /** The worker has seen a later term's fencing token: this term is over, and so is every right from it. */
  | { readonly kind: "deposed" };

// One object for each decision that is always the same: there are thousands of heartbeats a second.
const ACKNOWLEDGE: HeartbeatDecision = { kind: "acknowledge", byZoneLease: false };
const ACKNOWLEDGE_BY_ZONE_LEASE: HeartbeatDecision = { kind: "acknowledge", byZoneLease: true };
const REFUSE_WITHOUT_RIGHT: HeartbeatDecision = { kind: "refuse", reason: "no right to acknowledge" };
const REFUSE_LATE_COPY: HeartbeatDecision = { kind: "refuse", reason: "late copy" };
const REFUSE_QUARANTINED: HeartbeatDecision = { kind: "refuse", reason: "quarantined" };
const DEPOSED: HeartbeatDecision = { kind: "deposed" };

/** The decision on a heartbeat; `known` is the newest that this controller has acknowledged of the worker. */
export function decideOnHeartbeat(
  heartbeat: Heartbeat,
  known: Heartbeat | undefined,
  rights: AcknowledgementRights,
  served: ServedTerm,
  nowMs: number,
): HeartbeatDecision {
  const byZoneLease = nowMs >= rights.untilMs;
  if (byZoneLease && !rights.mayServeOwnZone(heartbeat.zone, nowMs))
    return decideWithoutRight(rights, served, nowMs);
  // An acknowledgement from us would be ignored and hold the worker here.
  if (heartbeat.fencingToken >= firstFencingToken(served.term + 1)) return DEPOSED;
  // Nobody waits for the response, and it proves nothing: a worker sends one heartbeat at a time.
  if (known && isLateCopy(known, heartbeat)) return REFUSE_LATE_COPY;
  if (rights.isQuarantined(heartbeat.machine)) return REFUSE_QUARANTINED;
  return byZoneLease ? ACKNOWLEDGE_BY_ZONE_LEASE : ACKNOWLEDGE;
}

function decideWithoutRight(
  rights: AcknowledgementRights,
  served: ServedTerm,
  nowMs: number,
): HeartbeatDecision {
  const { leader } = served;
  if (rights.isLeader || leader === null || leader === served.node) return REFUSE_WITHOUT_RIGHT;
  const withoutGrantMs = nowMs - Math.max(rights.grantUntilMs, served.sinceMs);
  if (withoutGrantMs < REDIRECT_TO_LEADER_AFTER_MS) return REFUSE_WITHOUT_RIGHT;
  return { kind: "redirect", to: leader };
}
