/** Retries commands that have had no visible effect, and abandons starts that cannot be sent. */
import type { Attempt, Machine } from "../../bookkeeping/workload.js";
import {
  PROBE_INTERVAL_MS,
  REAP_INTERVAL_MS,
  type CommandDeliveries,
} from "../commands/commandDeliveries.js";
import type { Attempts } from "../term/attempts.js";
import type { TermLease } from "../term/termLease.js";
import { abandonUnsentStarts } from "./unsentStarts.js";

/** Time that an unsent start waits for its machine to prove reachable before its task is placed elsewhere. */
const UNSENT_START_TIMEOUT_MS = 2500;
/** Commands are not retried on a machine silent for longer than this: its next heartbeat decides what is due. */
const MAX_RETRY_SILENCE_MS = 3000;
/** Interval after which a command without a visible effect is sent again. */
const RETRY_INTERVAL_MS = 1500;
/**
 * Delay after which a start without a visible effect is repeated under a higher fencing token, which settles whether the
 * worker received it.
 */
const RAISE_TOKEN_DELAY_MS = 4000;

/** The parts of the term that command retries depend on. */
export interface CommandRetrierContext {
  lease: TermLease;
  attempts: Attempts;
  deliveries: CommandDeliveries;
}

/** Retries the commands of machines that send heartbeats but do not show the effect of their commands. */
export class CommandRetrier {
  constructor(private readonly context: CommandRetrierContext) {}

  /** Sends the machine's due commands again, and abandons starts that have waited for longer than their timeout. */
  retryDueCommands(machine: Machine, nowMs: number): void {
    const { attempts, deliveries } = this.context;
    const silentMs = nowMs - machine.lastContactMs;
    if (!machine.isReachable || silentMs > UNSENT_START_TIMEOUT_MS)
      abandonUnsentStarts(attempts, machine, nowMs - UNSENT_START_TIMEOUT_MS);
    if (silentMs > MAX_RETRY_SILENCE_MS || deliveries.isInFlight(machine.name)) return;
    let isDue = isProbeOrReapDue(machine, nowMs);
    let raiseToken = false;
    for (const attempt of machine.attempts) {
      if (!this.isRetryDue(attempt, nowMs)) continue;
      isDue = true;
      raiseToken ||= needsHigherToken(attempt, nowMs);
    }
    if (isDue) deliveries.sendCommands(machine, raiseToken);
  }

  /** True if a command for the attempt has to be sent again, or its delayed start has to be sent for the first time. */
  private isRetryDue(attempt: Attempt, nowMs: number): boolean {
    if (attempt.stop) return nowMs - attempt.stop.lastSentMs > RETRY_INTERVAL_MS;
    if (attempt.isInherited) return false;
    // The attempt became durable while starts were not allowed. Unchanged heartbeats trigger no delivery, so this check is
    // the only occasion to send the start.
    if (attempt.isDurable && attempt.sentToken < 0)
      return attempt.machine.isReachable && this.context.lease.mayWrite();
    return attempt.phase === null && attempt.sentToken >= 0 && nowMs - attempt.sentMs > RETRY_INTERVAL_MS;
  }
}

/** True if a reachability probe or the reaping of exited tasks is due on the machine, whatever its attempts need. */
function isProbeOrReapDue(machine: Machine, nowMs: number): boolean {
  const sinceProbeMs = nowMs - machine.lastProbeMs;
  if (!machine.isReachable && sinceProbeMs > PROBE_INTERVAL_MS) return true;
  return sinceProbeMs > REAP_INTERVAL_MS && machine.reportedTasks.some((status) => status.phase === "exited");
}

/**
 * True if the start has to be repeated under a higher fencing token. A worker that does not list the attempt in a later
 * epoch or under a higher token has certainly not received the start.
 */
function needsHigherToken(attempt: Attempt, nowMs: number): boolean {
  if (attempt.stop || attempt.sentToken < 0) return false;
  return attempt.sentToken >= attempt.machine.fencingToken && nowMs - attempt.sentMs > RAISE_TOKEN_DELAY_MS;
}
