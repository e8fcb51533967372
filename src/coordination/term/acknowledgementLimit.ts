/**
 * Bounds the right to acknowledge heartbeats by what is known of cancellations (rule `ran_cancelled`). A cancelled task
 * that no command reaches ends with its worker's lease, so nobody may renew that lease too late.
 */
import { lengthenedByDrift, shortenedByDrift } from "./clockDrift.js";

/** For a heartbeat's way, timers that fire late, and a worker that kills its tasks a moment after its lease has expired. */
const ACKNOWLEDGEMENT_MARGIN_MS = 1000;

/** A zone lease shorter than this is no use: a network partition is not even noticed in it. */
export const MIN_ZONE_LEASE_MS = 3000;

/**
 * Steady time from which nobody may acknowledge heartbeats. `knownMs` is the moment up to which the leader knows every
 * cancellation that was confirmed to a user. Right after it another one may have been confirmed, no stop command need
 * reach its tasks, and they must be gone within `cancelS` all the same: at the latest a lease after the last
 * acknowledgement. For a machine with a task of a job that is known to be cancelled, `knownMs` is the time of that job's
 * cancellation.
 */
export function acknowledgementLimitMs(knownMs: number, cancelS: number, leaseS: number): number {
  const untilLastAcknowledgementS = cancelS - lengthenedByDrift(leaseS);
  return knownMs + shortenedByDrift(untilLastAcknowledgementS * 1000) - ACKNOWLEDGEMENT_MARGIN_MS;
}

/** The longest lease, in milliseconds, that a controller can ever be given on its own zone; 0: none is worth giving. */
export function longestZoneLeaseMs(cancelS: number, leaseS: number): number {
  const durationMs = Math.floor(acknowledgementLimitMs(0, cancelS, leaseS));
  return durationMs < MIN_ZONE_LEASE_MS ? 0 : durationMs;
}
