/**
 * The paper's squeeze (section 3.4): repeatedly merges the two machines with the lowest loads, as long as the merged
 * load is low. A machine is either emptied completely or left as it is, since only an empty machine can be released.
 * Pure: works on copies of the snapshots.
 */
import type { Resources } from "../../bookkeeping/resources.js";
import type { MachineSnapshot, Move } from "./consolidationTypes.js";
import { loadLevelOf, loadOf } from "./machineLoad.js";

/** The bounds of a round's merges, from the operators' settings. */
export interface MergeLimits {
  /** The paper's `degrad`: the load of a merged machine stays below half of it. */
  highLoadShare: number;
  /** The most tasks to move. */
  maxMoves: number;
}

interface MergeCandidate {
  machine: MachineSnapshot;
  load: number;
}

/** Plans the moves that empty lightly loaded machines onto others, so that the empty ones can be released. */
export function planMerges(machines: MachineSnapshot[], limits: MergeLimits): Move[] {
  const moves: Move[] = [];
  const candidates = mergeCandidates(machines, limits.highLoadShare);
  while (candidates.length >= 2 && moves.length < limits.maxMoves) {
    const [lightest, next] = candidates as [MergeCandidate, MergeCandidate];
    const merged = mergePair(lightest.machine, next.machine, moves, limits);
    // A machine that can't be merged with the next lightest is dropped, since the other candidates are heavier still.
    candidates.splice(0, merged ? 2 : 1);
    if (merged) insertIfLowLoad(candidates, merged, limits.highLoadShare);
  }
  return moves;
}

/** Copies of the machines that have tasks and a low load, the lightest first. */
function mergeCandidates(machines: MachineSnapshot[], highLoadShare: number): MergeCandidate[] {
  return machines
    .map((machine) => toCandidate({ ...machine, tasks: [...machine.tasks] }))
    .filter(({ machine, load }) => machine.tasks.length > 0 && loadLevelOf(load, highLoadShare) === "low")
    .sort(byLoad);
}

/** Empties one machine, preferably the first, onto the other, which is returned; null if neither can be emptied. */
function mergePair(
  first: MachineSnapshot,
  second: MachineSnapshot,
  moves: Move[],
  limits: MergeLimits,
): MachineSnapshot | null {
  const maxMoves = limits.maxMoves - moves.length;
  if (canMerge(first, second, maxMoves, limits.highLoadShare)) return moveAllTasks(first, second, moves);
  if (canMerge(second, first, maxMoves, limits.highLoadShare)) return moveAllTasks(second, first, moves);
  return null;
}

function canMerge(
  from: MachineSnapshot,
  to: MachineSnapshot,
  maxMoves: number,
  highLoadShare: number,
): boolean {
  if (!to.acceptsTasks || from.tasks.length > maxMoves) return false;
  if (!from.tasks.every((task) => task.isMovable && task.canMoveTo(to.name))) return false;
  const existing = usedResources(to);
  const incoming = usedResources(from);
  const merged: Resources = {
    cpus: existing.cpus + incoming.cpus,
    gpus: existing.gpus + incoming.gpus,
    memoryGb: existing.memoryGb + incoming.memoryGb,
  };
  return loadLevelOf(loadOf(merged, to.capacity), highLoadShare) === "low";
}

function moveAllTasks(from: MachineSnapshot, to: MachineSnapshot, moves: Move[]): MachineSnapshot {
  for (const { ref } of from.tasks) moves.push({ ref, from: from.name, to: to.name });
  to.tasks.push(...from.tasks);
  from.tasks = [];
  return to;
}

/** Inserts a merged machine in the order of the candidates if its load is still low. */
function insertIfLowLoad(
  candidates: MergeCandidate[],
  machine: MachineSnapshot,
  highLoadShare: number,
): void {
  const merged = toCandidate(machine);
  if (loadLevelOf(merged.load, highLoadShare) !== "low") return;
  const heavier = candidates.findIndex((other) => byLoad(merged, other) < 0);
  candidates.splice(heavier < 0 ? candidates.length : heavier, 0, merged);
}

function toCandidate(machine: MachineSnapshot): MergeCandidate {
  return { machine, load: loadOf(usedResources(machine), machine.capacity) };
}

function byLoad(left: MergeCandidate, right: MergeCandidate): number {
  return left.load - right.load || (left.machine.name < right.machine.name ? -1 : 1);
}

function usedResources(machine: MachineSnapshot): Resources {
  const used: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };
  for (const task of machine.tasks) {
    used.cpus += task.cpus;
    used.gpus += task.gpus;
    used.memoryGb += task.memoryGb;
  }
  return used;
}
