/** Decides how to respond to a worker's heartbeat. The functions are pure; the heartbeat server acts on the decision. */
import type { Heartbeat } from "../../protocol/model.js";
import { firstFencingToken } from "../term/fencingTokens.js";
import type { AcknowledgementRights } from "./acknowledgementRights.js";
import { isStaleOrDuplicate } from "./heartbeatComparison.js";

/**
 * A controller redirects workers to the leader after this long without a grant; until then refused workers try the next
 * controller on their own. Usually a grant arrives, or a failed leader is replaced, within this time. Earlier redirects
 * sent all workers to the leader at once, when it was busiest, and many of their leases expired in its queue.
 */
const REDIRECT_TO_LEADER_AFTER_MS = 2500;

/** The current term as a heartbeat server knows it. */
export interface CurrentTerm {
  /** Name of this controller. */
  readonly node: string;
  /** Number of the term; 0 before the first one. */
  term: number;
  /** Name of the term's leader, or null if it is unknown. */
  leader: string | null;
  /** When this process first learned of the term, in steady time. */
  firstSeenMs: number;
}

/** How to respond to a heartbeat. */
export type HeartbeatDecision =
  /** Acknowledge it. If only the zone lease allows that (`byZoneLease`), the worker is not redirected for balance. */
  | { readonly kind: "acknowledge"; readonly byZoneLease: boolean }
  /** Refuse it without naming another controller. */
  | {
      readonly kind: "refuse";
      readonly reason: "no right to acknowledge" | "stale or duplicate" | "quarantined";
    }
  /** Refuse it, and redirect the worker to the controller `to`. */
  | { readonly kind: "redirect"; readonly to: string }
  /** The worker has seen the fencing token of a later term: this term and all rights granted in it have ended. */
  | { readonly kind: "deposed" };

// Constant decisions are allocated once, because a controller receives thousands of heartbeats per second.
const ACKNOWLEDGE: HeartbeatDecision = { kind: "acknowledge", byZoneLease: false };
const ACKNOWLEDGE_BY_ZONE_LEASE: HeartbeatDecision = { kind: "acknowledge", byZoneLease: true };
const REFUSE_WITHOUT_RIGHT: HeartbeatDecision = { kind: "refuse", reason: "no right to acknowledge" };
const REFUSE_STALE_OR_DUPLICATE: HeartbeatDecision = { kind: "refuse", reason: "stale or duplicate" };
const REFUSE_QUARANTINED: HeartbeatDecision = { kind: "refuse", reason: "quarantined" };
const DEPOSED: HeartbeatDecision = { kind: "deposed" };

/** Decides on a heartbeat; `known` is the newest heartbeat of the worker that this controller has acknowledged. */
export function decideOnHeartbeat(
  heartbeat: Heartbeat,
  known: Heartbeat | undefined,
  rights: AcknowledgementRights,
  currentTerm: CurrentTerm,
  nowMs: number,
): HeartbeatDecision {
  const isByZoneLease = nowMs >= rights.acknowledgeUntilMs;
  if (isByZoneLease && !rights.mayAcknowledgeByZoneLease(heartbeat.zone, nowMs))
    return decideWithoutRight(rights, currentTerm, nowMs);
  // The worker would ignore an acknowledgement of this term, and would stay with this controller.
  if (heartbeat.fencingToken >= firstFencingToken(currentTerm.term + 1)) return DEPOSED;
  // A worker sends one heartbeat at a time: it does not wait for this response, and a stale heartbeat proves nothing.
  if (known && isStaleOrDuplicate(known, heartbeat)) return REFUSE_STALE_OR_DUPLICATE;
  if (rights.isQuarantined(heartbeat.machine)) return REFUSE_QUARANTINED;
  return isByZoneLease ? ACKNOWLEDGE_BY_ZONE_LEASE : ACKNOWLEDGE;
}

function decideWithoutRight(
  rights: AcknowledgementRights,
  currentTerm: CurrentTerm,
  nowMs: number,
): HeartbeatDecision {
  const { leader } = currentTerm;
  if (rights.isLeader || leader === null || leader === currentTerm.node) return REFUSE_WITHOUT_RIGHT;
  const withoutGrantMs = nowMs - Math.max(rights.grantUntilMs, currentTerm.firstSeenMs);
  if (withoutGrantMs < REDIRECT_TO_LEADER_AFTER_MS) return REFUSE_WITHOUT_RIGHT;
  return { kind: "redirect", to: leader };
}
