/**
 * Rounds of consolidation (the paper's squeeze and release): the moves of a round are durable before the first of
 * them begins.
 */
import type { Attempt } from "../../bookkeeping/workload.js";
import { log } from "../../transport/log.js";
import type { Clock } from "../../transport/clock.js";
import type { Attempts } from "../term/attempts.js";
import type { TermLease } from "../term/termLease.js";
import type { WriteRequests } from "../term/writeQueue.js";
import { takeSnapshot, type ConsolidationSnapshotContext } from "./consolidationSnapshot.js";
import type { MeasuredMachine, Move } from "./loadedMachine.js";
import { planMerges } from "./machineMerging.js";
import { planOffloads } from "./offloading.js";

const MS_PER_S = 1000;
/** A new leader waits this many heartbeat intervals, so that every worker's tasks are known. */
const SETTLE_HEARTBEATS = 2;
/** A moved task's job prefers the machine that it moves to for this long, in milliseconds. */
const PREFERENCE_MS = 5000;
/** … and avoids the machine that it leaves for this many rounds. */
const AVOIDED_ROUNDS = 2;

/** What the rounds use of the term. */
export interface ConsolidationRoundsContext extends ConsolidationSnapshotContext {
  clock: Clock;
  lease: TermLease;
  attempts: Attempts;
  writes: WriteRequests;
}

/** A machine that consolidation wants a job's next start on, until that time. */
export interface PreferredMachine {
  machine: string;
  untilMs: number;
}

/**
 * Owns the rounds of consolidation. A round takes a snapshot, decides on moves and has them written; only once they are
 * durable do they begin. There is no new round before the last one's moves have begun.
 */
export class ConsolidationRounds {
  /** Moves of the last round that are not known to be durable yet; null: none. */
  plannedMoves: Move[] | null = null;
  lastRoundMs: number;
  /** By job. */
  readonly preferredMachines = new Map<string, PreferredMachine>();
  private attemptsToMove = new Map<number, Attempt>();

  constructor(private readonly context: ConsolidationRoundsContext) {
    this.lastRoundMs = context.clock.nowMs();
  }

  /** The job is over: none of its tasks moves any longer. */
  forgetJob(id: string): void {
    this.preferredMachines.delete(id);
  }

  /** Decides on the moves of a round, and asks for the write that makes them durable. */
  runRound(nowMs: number): void {
    this.lastRoundMs = nowMs;
    const { lease, heartbeatS, writes } = this.context;
    if (this.plannedMoves || nowMs - lease.startedMs < SETTLE_HEARTBEATS * heartbeatS * MS_PER_S) return;
    const { machines, attempts } = takeSnapshot(this.context, nowMs);
    const moves = this.planMoves(machines);
    if (moves.length === 0) return;
    this.plannedMoves = moves;
    this.attemptsToMove = new Map(moves.map(({ ref }) => [ref, attempts[ref]!]));
    writes.requestWrite(0);
  }

  /** The round's moves are durable: they begin, each as a stop on one machine and a start, in time, on the other. */
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

  /** Emptying machines comes first; what is left of the round's moves relieves overloaded ones. */
  private planMoves(machines: MeasuredMachine[]): Move[] {
    const { highLoadShare, overloadShare, maxMovesPerRound } = this.context.operator;
    const moves = planMerges(machines, { highLoadShare, maxMoves: maxMovesPerRound });
    const maxMoves = maxMovesPerRound - moves.length;
    if (maxMoves > 0) moves.push(...planOffloads(machines, { highLoadShare, overloadShare, maxMoves }));
    return moves;
  }

  private beginMove(attempt: Attempt, { from, to }: Move, nowMs: number): void {
    const { job, task } = attempt;
    const { operator, attempts } = this.context;
    log.info(`moving ${job.id}/${task} from ${from} to ${to}`);
    this.preferredMachines.set(job.id, { machine: to, untilMs: nowMs + PREFERENCE_MS });
    job.avoidedUntilMs.set(from, nowMs + operator.roundIntervalS * (AVOIDED_ROUNDS * MS_PER_S));
    attempts.stopGracefully(attempt);
  }
}
