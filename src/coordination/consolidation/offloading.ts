/**
 * The paper's release (section 3.4): a machine whose reported load exceeds both its planned load and `violate` is
 * relieved of its largest movable task, which goes to a machine with a low load. Members of a gang are never moved
 * alone, as the snapshot doesn't mark them as movable. Pure.
 */
import type { TaskSnapshot, MachineLoadSnapshot, Move } from "./consolidationTypes.js";
import { LOAD_TOLERANCE, loadLevelOf, loadOf } from "./machineLoad.js";

/** The bounds of a round's offloads, from the operators' settings. */
export interface OffloadLimits {
  /** The paper's `degrad`: no target machine's load rises above it. */
  highLoadShare: number;
  /** The paper's `violate`: the reported load above which a machine is relieved. */
  overloadShare: number;
  /** The most tasks to move. */
  maxMoves: number;
}

/** Plans at most one move from each overloaded machine, and at most one to each target machine. */
export function planOffloads(machines: MachineLoadSnapshot[], limits: OffloadLimits): Move[] {
  const moves: Move[] = [];
  const usedTargets = new Set<string>();
  for (const machine of machines) {
    if (moves.length >= limits.maxMoves) break;
    if (!isOverloaded(machine, limits.overloadShare)) continue;
    const targets = machines.filter(
      (other) =>
        other !== machine && !usedTargets.has(other.name) && isLowLoadTarget(other, limits.highLoadShare),
    );
    const move = offload(machine, targets, limits.highLoadShare);
    if (!move) continue;
    moves.push(move);
    usedTargets.add(move.to);
  }
  return moves;
}

function isOverloaded(machine: MachineLoadSnapshot, overloadShare: number): boolean {
  return machine.reportedLoad > machine.plannedLoad + LOAD_TOLERANCE && machine.reportedLoad > overloadShare;
}

function isLowLoadTarget(machine: MachineLoadSnapshot, highLoadShare: number): boolean {
  return machine.acceptsTasks && loadLevelOf(machine.reportedLoad, highLoadShare) === "low";
}

/** Plans to move the largest task that fits on any target, to the lightest such target; null if no task fits. */
function offload(
  machine: MachineLoadSnapshot,
  targets: MachineLoadSnapshot[],
  highLoadShare: number,
): Move | null {
  const sizeOf = (task: TaskSnapshot): number => loadOf(task, machine.capacity);
  const largestFirst = machine.tasks
    .filter((task) => task.isMovable)
    .sort((left, right) => sizeOf(right) - sizeOf(left));
  const lightestFirst = targets.sort((left, right) => left.reportedLoad - right.reportedLoad);
  for (const task of largestFirst) {
    const target = lightestFirst.find(
      (other) =>
        task.canMoveTo(other.name) && other.reportedLoad + loadOf(task, other.capacity) <= highLoadShare,
    );
    if (target) return { ref: task.ref, from: machine.name, to: target.name };
  }
  return null;
}
