/**
 * Decides which machines are scaled in, and why: those that never came up, are lost, or have nothing to do. Pure; the texts
 * stand in the log. Times are steady, in milliseconds.
 */
import type { Machine } from "../../bookkeeping/workload.js";
import type { TermLease } from "../term/termLease.js";
import type { SilenceCounts } from "./silenceCounts.js";

/** A machine whose type is not known yet is expected to boot within this. */
const UNKNOWN_BOOT_S = 60;
/** A machine counts as never booted after so many times its type's boot time, and so much more. */
const BOOT_TIMES = 3;
const BOOT_MARGIN_S = 30;
/** A machine that was up for an earlier leader is waited for through so many leases, and so much more. */
const LEASES_TO_RETURN = 2;
const RETURN_MARGIN_S = 10;
/** A silent machine is kept for its lease and this at the least: until then its tasks may come back. */
const AFTER_LEASE_S = 2;
/** A new leader scales in nothing as never booted before it can have received the heartbeats of what runs. */
const FAILOVER_MS = 5000;
/** When most of a zone is silent, its machines are scaled in only after this. */
const ABANDON_ZONE_MS = 90_000;
/** A machine with an interruption notice counts as interrupted so long after the time it names, if silent for so long. */
const INTERRUPTED_GRACE_MS = 5000;
const INTERRUPTED_SILENT_MS = 4000;
/** The cloud charges a minute at the least: nothing is gained by scaling a machine in much sooner. */
const MIN_CHARGED_MS = 58_000;

/** What the decisions use of the term and the settings. */
export interface ScaleInContext {
  lease: TermLease;
  leaseS: number;
  operator: { suspectS: number; abandonS: number; spotSilentS: number; idleKeepS: number };
  /** Room on that machine is kept for a job. */
  isReserved: (machine: string) => boolean;
}

/** True when a booting machine will not come up any more. */
export function hasFailedToBoot(machine: Machine, context: ScaleInContext, nowMs: number): boolean {
  const { startedMs } = context.lease;
  // One that has come up for an earlier leader is not late but silent: cut off, say, and back in a while.
  const wasUp = machine.attempts.size > 0 || machine.isListedAsRunning;
  const sinceMs = wasUp ? Math.max(machine.createdMs, startedMs) : machine.createdMs;
  const isLate = nowMs - sinceMs > comesUpWithinS(machine, wasUp, context) * 1000;
  return isLate && nowMs - startedMs > FAILOVER_MS;
}

function comesUpWithinS(machine: Machine, wasUp: boolean, { leaseS, operator }: ScaleInContext): number {
  if (wasUp) return Math.max(leaseS * LEASES_TO_RETURN + RETURN_MARGIN_S, operator.abandonS);
  return (machine.type?.bootS ?? UNKNOWN_BOOT_S) * BOOT_TIMES + BOOT_MARGIN_S;
}

/** Why a silent machine is scaled in; null: it is waited for. */
export function lostReason(
  machine: Machine,
  counts: SilenceCounts,
  context: ScaleInContext,
  nowMs: number,
): string | null {
  const silentMs = nowMs - machine.lastContactMs;
  // When most of a zone is silent at once, its machines are probably well and only cut off from us: their leases prove
  // their tasks gone, and scaling all of them in would leave nothing to come back to.
  const isZoneSilent = counts.isMostOfZoneSilent(machine);
  // Most silent spot machines have been interrupted, and the cloud's response to their deletion proves it well before
  // their lease does. Not so when many fall silent that one controller served: then it is the controller.
  const isSilentAlone = !isZoneSilent && !counts.areManyOfServerSilent(machine);
  const spotSilentMs = context.operator.spotSilentS * 1000;
  if (machine.spot && isSilentAlone && machine.attempts.size > 0 && silentMs > spotSilentMs)
    return `spot machine ${silentFor(silentMs)}`;
  if (silentMs > (isZoneSilent ? ABANDON_ZONE_MS : abandonAfterMs(context))) return silentFor(silentMs);
  const { interruptionAtMs } = machine;
  const isInterrupted = interruptionAtMs !== null && nowMs > interruptionAtMs + INTERRUPTED_GRACE_MS;
  return isInterrupted && silentMs > INTERRUPTED_SILENT_MS ? "taken by the cloud" : null;
}

/** Why a machine without work is scaled in; null: it is kept. */
export function unusedReason(machine: Machine, context: ScaleInContext, nowMs: number): string | null {
  if (machine.attempts.size > 0 || machine.idleSinceMs === null) return null;
  if (machine.isCordoned) return machine.cordonReason;
  const { lease, operator } = context;
  const unreachableSinceMs = Math.max(machine.idleSinceMs, machine.unreachableSinceMs, lease.startedMs);
  if (!machine.isReachable && nowMs - unreachableSinceMs > abandonAfterMs(context))
    return "sends heartbeats, but can't be reached";
  const isIdle = nowMs - machine.idleSinceMs > operator.idleKeepS * 1000;
  const isSilent = nowMs - machine.lastContactMs >= operator.suspectS * 1000;
  const isCharged = nowMs - machine.createdMs <= MIN_CHARGED_MS;
  return isIdle && !isSilent && !isCharged && !context.isReserved(machine.name) ? "idle" : null;
}

/** Until its lease has expired, a silent machine's tasks count as running and may come back, and most machines do. */
function abandonAfterMs({ leaseS, operator }: ScaleInContext): number {
  return Math.max(operator.abandonS, leaseS + AFTER_LEASE_S) * 1000;
}

/** How long a machine is silent, for log lines. */
export function silentFor(silentMs: number): string {
  return `silent for ${(silentMs / 1000).toFixed(1)} s`;
}
