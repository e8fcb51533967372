/**
 * The paper's release (section 3.4): a machine whose measured load is above what its tasks ask for, and above `violate`,
 * loses its largest task that restarts cheaply to a machine whose load is low. Never one member of a gang alone: those
 * are not offered as movable. Pure.
 */
import type { LoadedTask, MeasuredMachine, Move } from "./loadedMachine.js";
import { LOAD_TOLERANCE, loadLevelOf, loadOf } from "./machineLoad.js";

/** What bounds a round's offloads, from the operators' settings. */
export interface OffloadLimits {
  /** The paper's `degrad`: no machine is filled beyond it. */
  highLoadShare: number;
  /** The paper's `violate`: the measured load above which a machine is relieved. */
  overloadShare: number;
  /** Moves of tasks at the most. */
  maxMoves: number;
}

/** At most one move off each overloaded machine, and at most one to each other machine. */
export function planOffloads(machines: MeasuredMachine[], limits: OffloadLimits): Move[] {
  const moves: Move[] = [];
  const usedTargets = new Set<string>();
  for (const machine of machines) {
    if (moves.length >= limits.maxMoves) break;
    if (!isOverloaded(machine, limits.overloadShare)) continue;
    const targets = machines.filter(
      (other) =>
        other !== machine && !usedTargets.has(other.name) && isLightTarget(other, limits.highLoadShare),
    );
    const move = offload(machine, targets, limits.highLoadShare);
    if (!move) continue;
    moves.push(move);
    usedTargets.add(move.to);
  }
  return moves;
}

function isOverloaded(machine: MeasuredMachine, overloadShare: number): boolean {
  return (
    machine.measuredLoad > machine.requestedLoad + LOAD_TOLERANCE && machine.measuredLoad > overloadShare
  );
}

function isLightTarget(machine: MeasuredMachine, highLoadShare: number): boolean {
  return machine.acceptsTasks && loadLevelOf(machine.measuredLoad, highLoadShare) === "low";
}

/** The largest task that fits on a target, to the lightest target that it fits on; null: there is none. */
function offload(machine: MeasuredMachine, targets: MeasuredMachine[], highLoadShare: number): Move | null {
  const sizeOf = (task: LoadedTask): number => loadOf(task, machine.capacity);
  const largestFirst = machine.tasks
    .filter((task) => task.isMovable)
    .sort((left, right) => sizeOf(right) - sizeOf(left));
  const lightestFirst = targets.sort((left, right) => left.measuredLoad - right.measuredLoad);
  for (const task of largestFirst) {
    const target = lightestFirst.find(
      (other) =>
        task.canMoveTo(other.name) && other.measuredLoad + loadOf(task, other.capacity) <= highLoadShare,
    );
    if (target) return { ref: task.ref, from: machine.name, to: target.name };
  }
  return null;
}
