/**
 * Periodic consolidation rounds (the paper's squeeze and release), which move tasks to empty lightly loaded machines
 * and to relieve overloaded ones.
 */
import type { Attempt } from "../../bookkeeping/workload.js";
import { log, quoteName } from "../../transport/log.js";
import type { Clock } from "../../transport/clock.js";
import type { Attempts } from "../term/attempts.js";
import type { TermLease } from "../term/termLease.js";
import type { WriteRequests } from "../term/writeQueue.js";
import { takeSnapshot, type ConsolidationSnapshotContext } from "./consolidationSnapshot.js";
import type { MachineLoadSnapshot, Move } from "./consolidationTypes.js";
import { planMerges } from "./machineMerging.js";
import { planOffloads } from "./offloading.js";

const MS_PER_S = 1000;
/** Heartbeat intervals that a new leader waits before its first round, so that heartbeats have reported all tasks. */
const SETTLE_HEARTBEAT_INTERVALS = 2;
/** Time for which a moved task's job prefers the machine that the task moves to. */
const PREFERENCE_MS = 5000;
/** Number of round intervals for which a moved task's job avoids the machine that the task leaves. */
const AVOIDANCE_ROUNDS = 2;

/** The parts of the term that the rounds use. */
export interface ConsolidationRoundsContext extends ConsolidationSnapshotContext {
  clock: Clock;
  lease: TermLease;
  attempts: Attempts;
  writes: WriteRequests;
}

/** The machine on which a job's next task is preferably started. */
export interface PreferredMachine {
  machine: string;
  /** Steady time at which the preference expires. */
  untilMs: number;
}

/**
 * Owns the consolidation rounds. A round takes a snapshot, plans moves and requests their write to the state store. No
 * move begins before the moves are durable, and no new round plans moves before those of the last round have begun.
 */
export class ConsolidationRounds {
  /** Moves of the last round that are not known to be durable yet; null if there are none. */
  plannedMoves: Move[] | null = null;
  /** Steady time of the last round, or of this object's creation before the first round. */
  lastRoundMs: number;
  /** Preferred machines by job id. */
  readonly preferredMachines = new Map<string, PreferredMachine>();
  /** The attempts that the planned moves stop, by `Move.ref`. */
  private attemptsToMove = new Map<number, Attempt>();

  constructor(private readonly context: ConsolidationRoundsContext) {
    this.lastRoundMs = context.clock.nowMs();
  }

  /** Drops the preferred machine of a job that is over. */
  clearPreferredMachine(id: string): void {
    this.preferredMachines.delete(id);
  }

  /** Plans the moves of a round and requests the write that makes them durable. */
  runRound(nowMs: number): void {
    this.lastRoundMs = nowMs;
    const { lease, heartbeatS, writes } = this.context;
    if (this.plannedMoves || nowMs - lease.startedMs < SETTLE_HEARTBEAT_INTERVALS * heartbeatS * MS_PER_S)
      return;
    const { machines, attempts } = takeSnapshot(this.context, nowMs);
    const moves = this.planMoves(machines);
    if (moves.length === 0) return;
    this.plannedMoves = moves;
    this.attemptsToMove = new Map(moves.map(({ ref }) => [ref, attempts[ref]!]));
    writes.requestWrite(0);
  }

  /** Begins the moves once they are durable: each stops an attempt, whose task later starts on the preferred machine. */
  beginMoves(): void {
    const moves = this.plannedMoves ?? [];
    this.plannedMoves = null;
    const nowMs = this.context.clock.nowMs();
    for (const move of moves) {
      const attempt = this.attemptsToMove.get(move.ref);
      if (attempt && !attempt.stop && attempt.machine.attempts.has(attempt)) {
        this.beginMove(attempt, move, nowMs);
      }
    }
    this.attemptsToMove.clear();
  }

  /** Plans merges first; the rest of the round's moves relieve overloaded machines. */
  private planMoves(machines: MachineLoadSnapshot[]): Move[] {
    const { highLoadShare, overloadShare, maxMovesPerRound } = this.context.operator;
    const moves = planMerges(machines, { highLoadShare, maxMoves: maxMovesPerRound });
    const maxMoves = maxMovesPerRound - moves.length;
    if (maxMoves > 0) moves.push(...planOffloads(machines, { highLoadShare, overloadShare, maxMoves }));
    return moves;
  }

  private beginMove(attempt: Attempt, { from, to }: Move, nowMs: number): void {
    const { job, task } = attempt;
    const { operator, attempts } = this.context;
    log.info(`consolidation: moving ${job.id}/${task} from ${quoteName(from)} to ${quoteName(to)}`);
    this.preferredMachines.set(job.id, { machine: to, untilMs: nowMs + PREFERENCE_MS });
    job.avoidedUntilMs.set(from, nowMs + operator.roundIntervalS * (AVOIDANCE_ROUNDS * MS_PER_S));
    attempts.stopGracefully(attempt);
  }
}
