import { loadOf, loadLevelOf, type Capacity } from "./machineLoad.js";

export interface LoadedTask {
  ref: number;
  jobId: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** It saves its progress, or has run under one round. */
  isMovable: boolean;
  /** May it run on that machine, given everything its job asks for and where its other tasks are? */
  canMoveTo: (machine: string) => boolean;
}

export interface LoadedMachine {
  name: string;
  capacity: Capacity;
  tasks: LoadedTask[];
  /** May take tasks. */
  acceptsTasks: boolean;
}

export interface Move {
  ref: number;
  from: string;
  to: string;
}

interface Loaded {
  m: LoadedMachine;
  load: number;
}

function lighter(a: Loaded, b: Loaded): number {
  return a.load - b.load || (a.m.name < b.m.name ? -1 : 1);
}

export interface MergeLimits {
  degrad: number;
  moveCap: number;
}

function used(machine: LoadedMachine): Capacity {
  const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
  for (const task of machine.tasks) {
    sum.cpus += task.cpus;
    sum.gpus += task.gpus;
    sum.memoryGb += task.memoryGb;
  }
  return sum;
}

/**
 * The paper's squeeze (section 3.4): again and again the two lightest loads of the outer ring are merged, while
 * the merged machine stays under degrad/2. A machine is emptied whole or left alone: half a move frees nothing.
 * Pure; works on copies.
 */
export function planMerges(machines: LoadedMachine[], limits: MergeLimits): Move[] {
  const moves: Move[] = [];
  const outer = machines
    .map((m) => ({ ...m, tasks: [...m.tasks] }))
    .map((m) => ({ m, load: loadOf(used(m), m.capacity) }))
    .filter((x) => x.m.tasks.length > 0 && loadLevelOf(x.load, limits.degrad) === "low")
    .sort(lighter);
  while (outer.length >= 2 && moves.length < limits.moveCap) {
    const [first, second] = outer as [Loaded, Loaded];
    if (merge(first.m, second.m))
      outer.splice(0, 2, { m: second.m, load: loadOf(used(second.m), second.m.capacity) });
    else if (merge(second.m, first.m))
      outer.splice(0, 2, { m: first.m, load: loadOf(used(first.m), first.m.capacity) });
    else {
      // What can't be emptied is no partner for the next lightest either.
      outer.shift();
      continue;
    }
    // The merged machine takes its place among the others, if it is still in their ring.
    const [merged] = outer.splice(0, 1) as [Loaded];
    if (loadLevelOf(merged.load, limits.degrad) !== "low") continue;
    const at = outer.findIndex((x) => lighter(merged, x) < 0);
    outer.splice(at < 0 ? outer.length : at, 0, merged);
  }
  return moves;

  function merge(from: LoadedMachine, to: LoadedMachine): boolean {
    if (!to.acceptsTasks || moves.length + from.tasks.length > limits.moveCap) return false;
    if (!from.tasks.every((t) => t.isMovable && t.canMoveTo(to.name))) return false;
    const sum = used(to);
    const extra = used(from);
    const merged = {
      cpus: sum.cpus + extra.cpus,
      gpus: sum.gpus + extra.gpus,
      memoryGb: sum.memoryGb + extra.memoryGb,
    };
    if (loadLevelOf(loadOf(merged, to.capacity), limits.degrad) !== "low") return false;
    for (const t of from.tasks) moves.push({ ref: t.ref, from: from.name, to: to.name });
    to.tasks.push(...from.tasks);
    from.tasks = [];
    return true;
  }
}
