/** Repeats commands that have shown no effect, and gives up starts that can't be sent. */
import type { Attempt, Machine } from "../../bookkeeping/workload.js";
import { PROBE_MS, REAP_MS, type CommandDeliveries } from "../commands/commandDeliveries.js";
import type { Attempts } from "../term/attempts.js";
import type { TermLease } from "../term/termLease.js";
import { giveUpUnsentStarts } from "./unsentStarts.js";

/** Starts wait this long for a machine to show that it is reachable; then their tasks are placed elsewhere. */
const UNSENT_START_MS = 2500;
/** A machine silent for longer than this is sent nothing again: its next heartbeat decides what is due. */
const REMIND_WITHIN_MS = 3000;
/** A command that has shown no effect is sent again after this. */
const REPEAT_MS = 1500;
/** A start without any effect for so long is repeated under a higher fencing token, which settles whether it arrived. */
const RAISE_TOKEN_AFTER_MS = 4000;

/** What the reminders use of the term. */
export interface CommandRemindersContext {
  lease: TermLease;
  attempts: Attempts;
  deliveries: CommandDeliveries;
}

/** Looks after the commands of machines that send heartbeats and whose commands show no effect. */
export class CommandReminders {
  constructor(private readonly context: CommandRemindersContext) {}

  /** Sends a machine again what is due, and gives up starts that have waited for too long. */
  remind(machine: Machine, nowMs: number): void {
    const { attempts, deliveries } = this.context;
    const silentMs = nowMs - machine.lastContactMs;
    if (!machine.isReachable || silentMs > UNSENT_START_MS)
      giveUpUnsentStarts(attempts, machine, nowMs - UNSENT_START_MS);
    if (silentMs > REMIND_WITHIN_MS || deliveries.isUnderWay(machine.name)) return;
    let isDue = isProbeOrReapDue(machine, nowMs);
    let raiseToken = false;
    for (const attempt of machine.attempts) {
      if (!this.isReminderDue(attempt, nowMs)) continue;
      isDue = true;
      raiseToken ||= needsHigherToken(attempt, nowMs);
    }
    if (isDue) deliveries.sendCommands(machine, raiseToken);
  }

  /** Does a command for the attempt have to be sent again, or at last? */
  private isReminderDue(attempt: Attempt, nowMs: number): boolean {
    if (attempt.stop) return nowMs - attempt.stop.lastSentMs > REPEAT_MS;
    if (attempt.isInherited) return false;
    // Became durable when nothing might be started: a machine whose heartbeats say nothing new gives no other occasion.
    if (attempt.isDurable && attempt.sentToken < 0)
      return attempt.machine.isReachable && this.context.lease.mayWrite();
    return attempt.phase === null && attempt.sentToken >= 0 && nowMs - attempt.sentMs > REPEAT_MS;
  }
}

/** Is the machine due a delivery apart from its attempts: to show that it is reachable, or to reap what has exited? */
function isProbeOrReapDue(machine: Machine, nowMs: number): boolean {
  const sinceProbeMs = nowMs - machine.lastProbeMs;
  if (!machine.isReachable && sinceProbeMs > PROBE_MS) return true;
  return sinceProbeMs > REAP_MS && machine.listedTasks.some((status) => status.phase === "exited");
}

/** A worker that lists the attempt neither in a later epoch nor under a higher token has certainly not received it. */
function needsHigherToken(attempt: Attempt, nowMs: number): boolean {
  if (attempt.stop || attempt.sentToken < 0) return false;
  return attempt.sentToken >= attempt.machine.fencingToken && nowMs - attempt.sentMs > RAISE_TOKEN_AFTER_MS;
}
