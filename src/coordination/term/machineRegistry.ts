/** The machines of a term, shared by its components; each field of a machine is changed by one component only. */
import { Machine } from "../../bookkeeping/workload.js";
import type { Clock } from "../../transport/clock.js";

/** Owns the machines known to the leader, and the names of machines whose deletion the cloud has confirmed. */
export class MachineRegistry {
  private readonly machines = new Map<string, Machine>();
  private readonly removed = new Set<string>();

  constructor(
    /** The first fencing token of the term. A worker must have seen it before it is given work. */
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

  /**
   * Returns the machine that a worker or the cloud has named in this term. An unknown machine is added in state
   * `booting`.
   */
  getOrCreate(name: string, zone: string): Machine {
    const machine = this.machines.get(name) ?? this.create(name, zone);
    machine.isNameConfirmed = true;
    return machine;
  }

  /** Returns the machine that a record names. An unknown machine is added in state `booting`. */
  getOrCreateRecorded(name: string, zone: string): Machine {
    return this.machines.get(name) ?? this.create(name, zone);
  }

  private create(name: string, zone: string): Machine {
    const machine = new Machine(name, zone, this.firstToken, this.clock.nowMs());
    this.machines.set(name, machine);
    return machine;
  }

  /** Returns true if the cloud has confirmed the deletion; a heartbeat or list with this name is then out of date. */
  isRemoved(name: string): boolean {
    return this.removed.has(name);
  }

  /** Records that the cloud has confirmed the deletion; the name is not used again in this term. */
  markRemoved(name: string): void {
    this.removed.add(name);
  }

  remove(name: string): void {
    this.machines.delete(name);
  }
}
