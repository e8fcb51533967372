/**
 * Decides which machines are scaled in, and why: machines that failed to boot, are lost, or are unused. The functions are
 * pure, and the reasons that they return appear in the log. Times are steady-clock times in milliseconds.
 */
import type { Machine } from "../../bookkeeping/workload.js";
import type { TermLease } from "../term/termLease.js";
import type { SilenceCounts } from "./silenceCounts.js";

/** Boot time assumed for a machine whose type is not known yet. */
const DEFAULT_BOOT_S = 60;
/** The boot timeout is the boot time of the machine's type multiplied by this factor, plus the margin. */
const BOOT_TIMEOUT_FACTOR = 3;
const BOOT_TIMEOUT_MARGIN_S = 30;
/** The timeout for a machine that was up under an earlier leader is this number of lease durations, plus the margin. */
const RECONNECT_TIMEOUT_LEASES = 2;
const RECONNECT_TIMEOUT_MARGIN_S = 10;
/** A silent machine is kept for at least its lease plus this margin, because its tasks may reappear until then. */
const ABANDON_LEASE_MARGIN_S = 2;
/**
 * Time after the start of a term in which no machine counts as failed to boot. Running machines need this time to get
 * their heartbeats to the new leader.
 */
const FAILOVER_GRACE_MS = 5000;
/** Silence after which machines are scaled in if most of their zone is silent. */
const ABANDON_SILENT_ZONE_MS = 90_000;
/**
 * A machine counts as interrupted once the time in its interruption notice has passed by the grace period and the machine
 * has been silent for the minimum.
 */
const INTERRUPTION_GRACE_MS = 5000;
const INTERRUPTION_MIN_SILENCE_MS = 4000;
/** The cloud bills at least one minute per machine, so scaling in much earlier saves nothing. */
const MIN_BILLED_MS = 58_000;

/** The parts of the term and the settings that scale-in decisions depend on. */
export interface ScaleInContext {
  lease: TermLease;
  leaseS: number;
  operator: { suspectS: number; abandonS: number; spotSilentS: number; idleKeepS: number };
  /** True if capacity on the machine is reserved for a job. */
  isReserved: (machine: string) => boolean;
}

/** True if a machine in the booting state is no longer expected to come up. */
export function hasFailedToBoot(machine: Machine, context: ScaleInContext, nowMs: number): boolean {
  // The cloud ignores names that it does not know, so its confirmation of a deletion would not prove the attempts gone.
  if (!machine.isNameConfirmed && machine.attempts.size > 0) return false;
  const { startedMs } = context.lease;
  // A machine that was up under an earlier leader is silent rather than late: it may be partitioned and reconnect later.
  const hasBootedBefore = machine.attempts.size > 0 || machine.isListedAsRunning;
  const sinceMs = hasBootedBefore ? Math.max(machine.createdMs, startedMs) : machine.createdMs;
  const isLate = nowMs - sinceMs > bootTimeoutS(machine, hasBootedBefore, context) * 1000;
  return isLate && nowMs - startedMs > FAILOVER_GRACE_MS;
}

/** Returns the time, in seconds, that a machine has to boot, or to reconnect if it was up under an earlier leader. */
function bootTimeoutS(
  machine: Machine,
  hasBootedBefore: boolean,
  { leaseS, operator }: ScaleInContext,
): number {
  if (hasBootedBefore)
    return Math.max(leaseS * RECONNECT_TIMEOUT_LEASES + RECONNECT_TIMEOUT_MARGIN_S, operator.abandonS);
  return (machine.type?.bootS ?? DEFAULT_BOOT_S) * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN_S;
}

/** Returns the reason to scale in a silent machine, or null if the leader keeps waiting for it. */
export function lostMachineReason(
  machine: Machine,
  counts: SilenceCounts,
  context: ScaleInContext,
  nowMs: number,
): string | null {
  const silentMs = nowMs - machine.lastContactMs;
  // When most of a zone is silent at once, its machines are probably healthy and only partitioned from the leader. Lease
  // expiry proves their tasks gone, and scaling in all of the machines would leave none to reconnect.
  const isZoneSilent = counts.isZoneMostlySilent(machine);
  // Most silent spot machines have been interrupted, and the cloud's response to their deletion proves their tasks gone
  // well before lease expiry does. When many machines of one controller fall silent, the controller is the likely cause.
  const isIsolatedSilence = !isZoneSilent && !counts.isServerSuspect(machine);
  const spotSilentMs = context.operator.spotSilentS * 1000;
  if (machine.spot && isIsolatedSilence && machine.attempts.size > 0 && silentMs > spotSilentMs)
    return `spot machine ${formatSilence(silentMs)}`;
  if (silentMs > (isZoneSilent ? ABANDON_SILENT_ZONE_MS : abandonTimeoutMs(context)))
    return formatSilence(silentMs);
  const { interruptionAtMs } = machine;
  const isInterrupted = interruptionAtMs !== null && nowMs > interruptionAtMs + INTERRUPTION_GRACE_MS;
  return isInterrupted && silentMs > INTERRUPTION_MIN_SILENCE_MS ? "spot instance interrupted" : null;
}

/** Returns the reason to scale in a machine without work, or null if it is kept. */
export function unusedMachineReason(machine: Machine, context: ScaleInContext, nowMs: number): string | null {
  if (machine.attempts.size > 0 || machine.idleSinceMs === null) return null;
  if (machine.isCordoned) return machine.cordonReason;
  const { lease, operator } = context;
  const unreachableSinceMs = Math.max(machine.idleSinceMs, machine.unreachableSinceMs, lease.startedMs);
  if (!machine.isReachable && nowMs - unreachableSinceMs > abandonTimeoutMs(context))
    return "sends heartbeats but is unreachable";
  const isIdle = nowMs - machine.idleSinceMs > operator.idleKeepS * 1000;
  const isSilent = nowMs - machine.lastContactMs >= operator.suspectS * 1000;
  const isInFirstBilledMinute = nowMs - machine.createdMs <= MIN_BILLED_MS;
  return isIdle && !isSilent && !isInFirstBilledMinute && !context.isReserved(machine.name) ? "idle" : null;
}

/**
 * Returns the time, in milliseconds, after which a silent or unreachable machine is scaled in. Until its lease has expired,
 * a silent machine's tasks count as running and may reappear, as those of most silent machines do.
 */
function abandonTimeoutMs({ leaseS, operator }: ScaleInContext): number {
  return Math.max(operator.abandonS, leaseS + ABANDON_LEASE_MARGIN_S) * 1000;
}

/** Formats the duration of a machine's silence for log lines. */
export function formatSilence(silentMs: number): string {
  return `silent for ${(silentMs / 1000).toFixed(1)} s`;
}
