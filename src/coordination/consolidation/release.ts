import { loadOf, ringOf } from "./rings.js";
import type { LoadedMachine, LoadedTask, Move } from "./squeeze.js";

export interface MeasuredMachine extends LoadedMachine {
  /** Load by what the worker reports, which can be more than what was asked for. */
  measured: number;
  requested: number;
}

/**
 * The paper's release (section 3.4): a machine whose measured use exceeds what its tasks ask for and passes
 * violate loses its largest task that restarts cheaply, to a light machine of the outer ring. Never one member
 * of a gang alone: those are not offered as movable. Pure.
 */
export function release(
  machines: MeasuredMachine[],
  limits: { degrad: number; violate: number; moveCap: number },
): Move[] {
  const moves: Move[] = [];
  const taken = new Set<string>();
  for (const machine of machines) {
    if (moves.length >= limits.moveCap) break;
    if (machine.measured <= machine.requested + 1e-9 || machine.measured <= limits.violate) continue;
    const size = (t: LoadedTask): number => loadOf(t, machine.total);
    const able = machine.tasks.filter((t) => t.movable).sort((a, b) => size(b) - size(a));
    const light = machines
      .filter(
        (o) => o !== machine && o.open && !taken.has(o.name) && ringOf(o.measured, limits.degrad) === "outer",
      )
      .sort((a, b) => a.measured - b.measured);
    search: for (const task of able) {
      for (const to of light) {
        if (!task.mayMoveTo(to.name) || to.measured + loadOf(task, to.total) > limits.degrad) continue;
        moves.push({ ref: task.ref, from: machine.name, to: to.name });
        taken.add(to.name);
        break search;
      }
    }
  }
  return moves;
}
