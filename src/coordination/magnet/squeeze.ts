import { loadOf, ringOf, type Capacity } from "./rings.js";

export interface LoadedTask {
  ref: number;
  jobId: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** It saves its progress, or has run under one round. */
  movable: boolean;
  /** May it run on that machine, given everything its job asks for and where its other tasks are? */
  mayMoveTo: (machine: string) => boolean;
}

export interface LoadedMachine {
  name: string;
  total: Capacity;
  tasks: LoadedTask[];
  /** May take tasks. */
  open: boolean;
}

export interface Move {
  ref: number;
  from: string;
  to: string;
}

export interface SqueezeLimits {
  degrad: number;
  moveCap: number;
}

function used(m: LoadedMachine): Capacity {
  const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
  for (const t of m.tasks) {
    sum.cpus += t.cpus;
    sum.gpus += t.gpus;
    sum.memoryGb += t.memoryGb;
  }
  return sum;
}

/**
 * The paper's squeeze (section 3.4): again and again the two lightest loads of the outer ring are merged, while
 * the merged machine stays under degrad/2. A machine is emptied whole or left alone: half a move frees nothing.
 * Pure; works on copies.
 */
export function squeeze(machines: LoadedMachine[], limits: SqueezeLimits): Move[] {
  const moves: Move[] = [];
  const state = machines.map((m) => ({ ...m, tasks: [...m.tasks] }));
  const skipped = new Set<string>();
  for (;;) {
    const outer = state
      .filter((m) => m.tasks.length > 0 && !skipped.has(m.name))
      .map((m) => ({ m, load: loadOf(used(m), m.total) }))
      .filter((x) => ringOf(x.load, limits.degrad) === "outer")
      .sort((a, b) => a.load - b.load || (a.m.name < b.m.name ? -1 : 1));
    const [first, second] = outer;
    if (!first || !second) return moves;
    const done = [
      [first.m, second.m],
      [second.m, first.m],
    ].some(([from, to]) => merge(from!, to!));
    // What can't be emptied is no partner for the next lightest either.
    if (!done) skipped.add(first.m.name);
  }

  function merge(from: LoadedMachine, to: LoadedMachine): boolean {
    if (!to.open || moves.length + from.tasks.length > limits.moveCap) return false;
    if (!from.tasks.every((t) => t.movable && t.mayMoveTo(to.name))) return false;
    const sum = used(to);
    const extra = used(from);
    const merged = {
      cpus: sum.cpus + extra.cpus,
      gpus: sum.gpus + extra.gpus,
      memoryGb: sum.memoryGb + extra.memoryGb,
    };
    if (ringOf(loadOf(merged, to.total), limits.degrad) !== "outer") return false;
    for (const t of from.tasks) moves.push({ ref: t.ref, from: from.name, to: to.name });
    to.tasks.push(...from.tasks);
    from.tasks = [];
    return true;
  }
}
