import type { JobSpec, MachineType } from "../../protocol/model.js";
import { RunTimeEstimator } from "./runTimeEstimator.js";
import type { AcceleratorReserve } from "./views.js";

/** What a controller knows whatever the term: machine types, and what the days have taught. */
export class Estimates {
  types: MachineType[] = [];
  areTypesKnown = false;
  readonly runTimes = new RunTimeEstimator();
  /** Counts changes of what `claimOn` answers. */
  acceleratorReserveRevision = 0;
  private readonly gpuClasses = new Map<string, JobSpec>();

  /** Spot machines taken with notice, and how long all of them ran; begins with a guess of one in an hour. */
  private taken = 1;
  private spotH = 1;
  private spotSeenMs = -Infinity;

  constructor(readonly controllerZones: Set<string>) {}

  typeNamed(name: string): MachineType | null {
    return this.types.find((t) => t.name === name) ?? null;
  }

  /** True when more than prices is new. */
  setTypes(types: MachineType[]): boolean {
    const shape = (list: MachineType[]): string =>
      JSON.stringify(list.map((t) => ({ ...t, price: 0, spotPrice: 0 })));
    const changed = !this.areTypesKnown || shape(types) !== shape(this.types);
    this.types = types;
    this.areTypesKnown = true;
    return changed;
  }

  recordSpotInterruption(): void {
    this.taken++;
  }

  /** So many spot machines are up now. */
  recordSpotUptime(machines: number, nowMs: number): void {
    const sinceMs = nowMs - this.spotSeenMs;
    if (sinceMs < 2000) this.spotH += (machines * sinceMs) / 3_600_000;
    this.spotSeenMs = nowMs;
  }

  get interruptionsPerHour(): number {
    return this.taken / this.spotH;
  }

  /** Remembers what work with accelerators looks like, class by class. */
  recordAcceleratorJob(spec: JobSpec): void {
    if (spec.gpus <= 0 || this.gpuClasses.has(spec.className)) return;
    this.acceleratorReserveRevision++;
    this.gpuClasses.set(spec.className, spec);
  }

  acceleratorReserveOn(type: MachineType, spot: boolean): AcceleratorReserve | null {
    if (type.gpus <= 0) return null;
    let claim: AcceleratorReserve | null = null;
    for (const spec of this.gpuClasses.values()) {
      if ((spec.types !== null && !spec.types.includes(type.name)) || (spot && !spec.spot)) continue;
      claim ??= { cpus: 0, memoryGb: 0 };
      claim.cpus = Math.max(claim.cpus, spec.cpus / spec.gpus);
      claim.memoryGb = Math.max(claim.memoryGb, spec.memoryGb / spec.gpus);
    }
    return claim;
  }
}
