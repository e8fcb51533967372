/**
 * The time limit that cancellations set to the acknowledgement of heartbeats (rule `ran_cancelled`). A cancelled task
 * that no stop command reaches ends only when its worker's lease expires, so that lease must not be renewed too late.
 */
import { lengthenedByDrift, shortenedByDrift } from "./clockDrift.js";

/** Allows for a heartbeat in transit, late timers, and a worker that kills its tasks shortly after its lease expired. */
const ACKNOWLEDGEMENT_MARGIN_MS = 1000;

/** Minimum useful zone lease: a shorter one expires before a network partition is detected. */
export const MIN_ZONE_LEASE_MS = 3000;

/**
 * Returns the steady time from which no controller may acknowledge heartbeats. The leader knows every cancellation that
 * was confirmed to a user up to `knownMs`. Another one may have been confirmed right after it, and its tasks must be gone
 * within `cancelS` even if no stop command reaches them: they end at the latest one lease after the last acknowledgement.
 * For a machine with a task of a job that is known to be cancelled, `knownMs` is the time of that job's cancellation.
 */
export function acknowledgementLimitMs(knownMs: number, cancelS: number, leaseS: number): number {
  const untilLastAcknowledgementS = cancelS - lengthenedByDrift(leaseS);
  return knownMs + shortenedByDrift(untilLastAcknowledgementS * 1000) - ACKNOWLEDGEMENT_MARGIN_MS;
}

/** Returns the longest possible zone lease of a controller, in milliseconds, or 0 if none would be long enough. */
export function longestZoneLeaseMs(cancelS: number, leaseS: number): number {
  const durationMs = Math.floor(acknowledgementLimitMs(0, cancelS, leaseS));
  return durationMs < MIN_ZONE_LEASE_MS ? 0 : durationMs;
}
