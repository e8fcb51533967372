import type { Attempt } from "../../bookkeeping/jobs.js";
import { log } from "../../transport/log.js";
import type { LeaderOptions } from "../leader.js";
import type { LeaderTerm } from "../leaderTerm.js";
import { allows, zoneRoom } from "../views.js";
import { release, type MeasuredMachine } from "./release.js";
import { loadOf, ringOf } from "./rings.js";
import { squeeze, type LoadedTask, type Move } from "./squeeze.js";

/** Owns the magnet's rounds: their moves from the decision, through the write, to the stops. */
export class Rounds {
  moves: Move[] | null = null;
  private movesRefs = new Map<number, Attempt>();
  lastRoundMs: number;
  readonly prefer = new Map<string, { machine: string; untilMs: number }>();

  constructor(
    private readonly r: LeaderTerm,
    private readonly o: LeaderOptions,
  ) {
    this.lastRoundMs = o.clock.nowMs();
  }

  round(now: number): void {
    this.lastRoundMs = now;
    if (this.moves || now - this.r.startedMs < 2 * this.o.platform.reportS * 1000) return;
    const { degrad, violate, moveCap, elapseS } = this.o.operator;
    const refs: Attempt[] = [];
    const machines: MeasuredMachine[] = [];
    for (const m of this.r.machines.values()) {
      if (m.state !== "up" || !m.type) continue;
      const requested = loadOf(m.used, m.type);
      // Most machines are in the inner rings and use what they were asked to: neither squeeze nor release looks there.
      if (ringOf(requested, degrad) !== "outer" && m.reported.length <= m.attempts.size) continue;
      // A late report would move tasks that have already left.
      const fresh = now - m.lastHeardMs < this.o.platform.reportS * 1500;
      const tasks: LoadedTask[] = [];
      let whole = fresh;
      const measuredUse = { cpus: 0, gpus: 0, memoryGb: 0 };
      for (const t of m.reported) {
        const spec = this.r.jobs.get(t.jobId)?.spec;
        if (t.phase === "exited" || !spec) continue;
        measuredUse.cpus += spec.cpus;
        measuredUse.gpus += spec.gpus;
        measuredUse.memoryGb += spec.memoryGb;
      }
      for (const a of m.attempts) {
        const { spec } = a.job;
        if (a.stop || a.phase === null) whole = false;
        const young = a.runningMs === null ? a.phase === "fetching" : now - a.runningMs < elapseS * 1000;
        const movable =
          whole &&
          a.stop === null &&
          spec.kind !== "service" &&
          (spec.kind !== "gang" || spec.tasks === 1) &&
          (spec.checkpointS > 0 ? a.phase === "running" : young);
        tasks.push({
          ref: refs.push(a) - 1,
          jobId: a.job.id,
          cpus: spec.cpus,
          gpus: spec.gpus,
          memoryGb: spec.memoryGb,
          movable,
          mayMoveTo: (name) => this.mayMove(a, name),
        });
      }
      machines.push({
        name: m.name,
        total: m.type,
        tasks,
        open: whole && !m.cordoned && m.takenAtMs === null,
        measured: loadOf(measuredUse, m.type),
        requested,
      });
    }
    const moves = squeeze(machines, { degrad, moveCap });
    if (moves.length < moveCap) {
      moves.push(...release(machines, { degrad, violate, moveCap: moveCap - moves.length }));
    }
    if (moves.length === 0) return;
    this.moves = moves;
    this.movesRefs = new Map(moves.map((mv) => [mv.ref, refs[mv.ref]!]));
    this.r.archive.requestWrite(0);
  }

  private mayMove(a: Attempt, name: string): boolean {
    const m = this.r.machines.get(name);
    const { spec } = a.job;
    if (!m?.type || m.cordoned || !allows(spec, m.type.name, m.zone, m.spot)) return false;
    const zones = new Map<string, number>();
    for (const b of a.job.attempts)
      if (b !== a) zones.set(b.machine.zone, (zones.get(b.machine.zone) ?? 0) + 1);
    return zoneRoom(spec, zones, m.zone) > 0;
  }

  /** The round's moves are durable: now they begin, each as a stop here and a start there. */
  beginMoves(): void {
    const moves = this.moves ?? [];
    this.moves = null;
    const now = this.o.clock.nowMs();
    for (const mv of moves) {
      const a = this.movesRefs.get(mv.ref);
      if (!a || a.stop || !a.machine.attempts.has(a)) continue;
      log.info(`moving ${a.job.id}/${a.task} from ${mv.from} to ${mv.to}`);
      this.prefer.set(a.job.id, { machine: mv.to, untilMs: now + 5000 });
      a.job.avoid.set(mv.from, now + this.o.operator.elapseS * 2000);
      this.r.attempts.stopOrderly(a);
    }
    this.movesRefs.clear();
  }
}
