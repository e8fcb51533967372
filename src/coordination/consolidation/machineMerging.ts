/**
 * The paper's squeeze (section 3.4): again and again the two machines with the lightest loads are merged, while the merged
 * load stays low. A machine is emptied whole or left alone: half of it frees nothing. Pure; works on copies.
 */
import type { Resources } from "../../bookkeeping/resources.js";
import type { LoadedMachine, Move } from "./loadedMachine.js";
import { loadLevelOf, loadOf } from "./machineLoad.js";

/** What bounds a round's merges, from the operators' settings. */
export interface MergeLimits {
  /** The paper's `degrad`: merged machines stay under half of it. */
  highLoadShare: number;
  /** Moves of tasks at the most. */
  maxMoves: number;
}

interface WeighedMachine {
  machine: LoadedMachine;
  load: number;
}

/** Moves that empty lightly loaded machines onto others, so that the empty ones can be released. */
export function planMerges(machines: LoadedMachine[], limits: MergeLimits): Move[] {
  const moves: Move[] = [];
  const candidates = lightMachines(machines, limits.highLoadShare);
  while (candidates.length >= 2 && moves.length < limits.maxMoves) {
    const [lightest, next] = candidates as [WeighedMachine, WeighedMachine];
    const merged = mergePair(lightest.machine, next.machine, moves, limits);
    // What can't be merged with the next lightest is no partner for those after it either.
    candidates.splice(0, merged ? 2 : 1);
    if (merged) insertIfLight(candidates, merged, limits.highLoadShare);
  }
  return moves;
}

/** Copies of the machines with work whose load is low, the lightest first. */
function lightMachines(machines: LoadedMachine[], highLoadShare: number): WeighedMachine[] {
  return machines
    .map((machine) => weigh({ ...machine, tasks: [...machine.tasks] }))
    .filter(({ machine, load }) => machine.tasks.length > 0 && loadLevelOf(load, highLoadShare) === "low")
    .sort(byLoad);
}

/** Empties one of the two onto the other, the first by preference; returns the one that holds all, or null. */
function mergePair(
  first: LoadedMachine,
  second: LoadedMachine,
  moves: Move[],
  limits: MergeLimits,
): LoadedMachine | null {
  const maxMoves = limits.maxMoves - moves.length;
  if (canMerge(first, second, maxMoves, limits.highLoadShare)) return moveAllTasks(first, second, moves);
  if (canMerge(second, first, maxMoves, limits.highLoadShare)) return moveAllTasks(second, first, moves);
  return null;
}

function canMerge(from: LoadedMachine, to: LoadedMachine, maxMoves: number, highLoadShare: number): boolean {
  if (!to.acceptsTasks || from.tasks.length > maxMoves) return false;
  if (!from.tasks.every((task) => task.isMovable && task.canMoveTo(to.name))) return false;
  const staying = resourcesUsed(to);
  const arriving = resourcesUsed(from);
  const merged: Resources = {
    cpus: staying.cpus + arriving.cpus,
    gpus: staying.gpus + arriving.gpus,
    memoryGb: staying.memoryGb + arriving.memoryGb,
  };
  return loadLevelOf(loadOf(merged, to.capacity), highLoadShare) === "low";
}

function moveAllTasks(from: LoadedMachine, to: LoadedMachine, moves: Move[]): LoadedMachine {
  for (const { ref } of from.tasks) moves.push({ ref, from: from.name, to: to.name });
  to.tasks.push(...from.tasks);
  from.tasks = [];
  return to;
}

/** Puts a merged machine in its place among the candidates, if its load is still low. */
function insertIfLight(candidates: WeighedMachine[], machine: LoadedMachine, highLoadShare: number): void {
  const merged = weigh(machine);
  if (loadLevelOf(merged.load, highLoadShare) !== "low") return;
  const heavier = candidates.findIndex((other) => byLoad(merged, other) < 0);
  candidates.splice(heavier < 0 ? candidates.length : heavier, 0, merged);
}

function weigh(machine: LoadedMachine): WeighedMachine {
  return { machine, load: loadOf(resourcesUsed(machine), machine.capacity) };
}

function byLoad(left: WeighedMachine, right: WeighedMachine): number {
  return left.load - right.load || (left.machine.name < right.machine.name ? -1 : 1);
}

function resourcesUsed(machine: LoadedMachine): Resources {
  const used: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };
  for (const task of machine.tasks) {
    used.cpus += task.cpus;
    used.gpus += task.gpus;
    used.memoryGb += task.memoryGb;
  }
  return used;
}
