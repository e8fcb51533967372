import { loadOf, loadLevelOf } from "./machineLoad.js";
import type { LoadedMachine, LoadedTask, Move } from "./machineMerging.js";

export interface MeasuredMachine extends LoadedMachine {
  /** Load by what the worker reports, which can be more than what was asked for. */
  measuredLoad: number;
  requestedLoad: number;
}

/**
 * The paper's release (section 3.4): a machine whose measured use exceeds what its tasks ask for and passes
 * violate loses its largest task that restarts cheaply, to a light machine of the outer ring. Never one member
 * of a gang alone: those are not offered as movable. Pure.
 */
export function planOffloads(
  machines: MeasuredMachine[],
  limits: { degrad: number; violate: number; moveCap: number },
): Move[] {
  const moves: Move[] = [];
  const taken = new Set<string>();
  for (const machine of machines) {
    if (moves.length >= limits.moveCap) break;
    if (machine.measuredLoad <= machine.requestedLoad + 1e-9 || machine.measuredLoad <= limits.violate)
      continue;
    const size = (t: LoadedTask): number => loadOf(t, machine.capacity);
    const able = machine.tasks.filter((t) => t.isMovable).sort((a, b) => size(b) - size(a));
    const light = machines
      .filter(
        (o) =>
          o !== machine &&
          o.acceptsTasks &&
          !taken.has(o.name) &&
          loadLevelOf(o.measuredLoad, limits.degrad) === "low",
      )
      .sort((a, b) => a.measuredLoad - b.measuredLoad);
    search: for (const task of able) {
      for (const to of light) {
        if (!task.canMoveTo(to.name) || to.measuredLoad + loadOf(task, to.capacity) > limits.degrad) continue;
        moves.push({ ref: task.ref, from: machine.name, to: to.name });
        taken.add(to.name);
        break search;
      }
    }
  }
  return moves;
}
