/** The machines of a term, shared by its parts; each field of a machine has one part that changes it. */
import { Machine } from "../../bookkeeping/workload.js";
import type { Clock } from "../../transport/clock.js";

/** Owns the set of machines that the term's leader knows, and the names of those that are certainly gone. */
export class MachineRegistry {
  private readonly machines = new Map<string, Machine>();
  private readonly removed = new Set<string>();

  constructor(
    /** The first fencing token of the term: a worker must have seen it before it gets work. */
    private readonly firstToken: number,
    private readonly clock: Clock,
  ) {}

  get size(): number {
    return this.machines.size;
  }

  get(name: string): Machine | undefined {
    return this.machines.get(name);
  }

  values(): Iterable<Machine> {
    return this.machines.values();
  }

  /** The machine of that name; one that was not known is added as booting, in that zone. */
  getOrCreate(name: string, zone: string): Machine {
    let machine = this.machines.get(name);
    if (!machine) {
      machine = new Machine(name, zone, this.firstToken, this.clock.nowMs());
      this.machines.set(name, machine);
    }
    return machine;
  }

  /** The cloud has confirmed the deletion of that name: any heartbeat or list that still names it is late. */
  isRemoved(name: string): boolean {
    return this.removed.has(name);
  }

  /** The cloud has confirmed the deletion: the name does not return in this term. */
  markRemoved(name: string): void {
    this.removed.add(name);
  }

  /** Takes the machine out of the set. */
  remove(name: string): void {
    this.machines.delete(name);
  }
}
