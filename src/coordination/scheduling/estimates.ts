/**
 * Estimates that a controller process learns while it runs: run times, resource needs of GPU jobs and the rate of spot
 * interruptions, together with the machine types. They are kept across terms, and no safety rule depends on them.
 */
import type { JobSpec, MachineType } from "../../protocol/model.js";
import { RunTimeEstimator } from "./runTimeEstimator.js";
import type { AcceleratorReserve } from "./views.js";

const MS_PER_HOUR = 3_600_000;
/**
 * Spot machines are counted at every tick. A gap between two counts that is longer than this adds no machine hours,
 * because the number of machines that ran in it is unknown.
 */
const MAX_SPOT_SAMPLE_GAP_MS = 2000;

/** Owns the machine types and the estimates that a controller keeps across terms. */
export class Estimates {
  /** The machine types that the cloud offers; empty until they are known. */
  types: MachineType[] = [];
  /** Whether the machine types have been received. No scheduling cycle runs before that. */
  areTypesKnown = false;
  readonly runTimes = new RunTimeEstimator();
  /** Grows whenever results of `acceleratorReserveOn` may have changed because a new class of GPU jobs was recorded. */
  acceleratorReserveRevision = 0;
  /** The first GPU job recorded of each class. */
  private readonly gpuJobByClass = new Map<string, JobSpec>();

  /**
   * Recorded spot interruptions. It starts at 1, as `spotMachineHours` does: a prior of one interruption per machine hour.
   */
  private spotInterruptions = 1;
  /** Hours that spot machines have run, summed over all of them. */
  private spotMachineHours = 1;
  private lastSpotSampleMs = -Infinity;

  constructor(
    /** Names of the zones in which a controller runs. */
    readonly controllerZones: Set<string>,
  ) {}

  /** Returns the machine type of that name, or null if the cloud offers none or the types are not known yet. */
  findType(name: string): MachineType | null {
    return this.types.find((type) => type.name === name) ?? null;
  }

  /** Replaces the machine types. Returns whether the types are the first ones or differ in more than their prices. */
  setTypes(types: MachineType[]): boolean {
    const isChanged =
      !this.areTypesKnown || serializeWithoutPrices(types) !== serializeWithoutPrices(this.types);
    this.types = types;
    this.areTypesKnown = true;
    return isChanged;
  }

  /** Records that the cloud interrupts a spot machine. */
  recordSpotInterruption(): void {
    this.spotInterruptions++;
  }

  /** Records the number of spot machines that are up now. To be called at every tick. */
  recordSpotUptime(machines: number, nowMs: number): void {
    const elapsedMs = nowMs - this.lastSpotSampleMs;
    if (elapsedMs < MAX_SPOT_SAMPLE_GAP_MS) this.spotMachineHours += (machines * elapsedMs) / MS_PER_HOUR;
    this.lastSpotSampleMs = nowMs;
  }

  /** Estimated interruptions of one spot machine per hour of its run time. */
  get interruptionsPerHour(): number {
    return this.spotInterruptions / this.spotMachineHours;
  }

  /** Records the resource needs of a GPU job, if it is the first of its class. Other jobs are ignored. */
  recordAcceleratorJob(spec: JobSpec): void {
    if (spec.gpus <= 0 || this.gpuJobByClass.has(spec.className)) return;
    this.acceleratorReserveRevision++;
    this.gpuJobByClass.set(spec.className, spec);
  }

  /**
   * Returns the CPUs and memory to keep free for each GPU of such a machine: the maximum per GPU over the recorded GPU
   * jobs that may run there. Returns null if the machine type has no GPUs, or no recorded GPU job may run there.
   */
  acceleratorReserveOn(type: MachineType, spot: boolean): AcceleratorReserve | null {
    if (type.gpus <= 0) return null;
    let reserve: AcceleratorReserve | null = null;
    for (const spec of this.gpuJobByClass.values()) {
      if ((spec.types !== null && !spec.types.includes(type.name)) || (spot && !spec.spot)) continue;
      reserve ??= { cpus: 0, memoryGb: 0 };
      reserve.cpus = Math.max(reserve.cpus, spec.cpus / spec.gpus);
      reserve.memoryGb = Math.max(reserve.memoryGb, spec.memoryGb / spec.gpus);
    }
    return reserve;
  }
}

/** Serializes machine types with their prices set to 0, so that types that differ only in prices yield equal texts. */
function serializeWithoutPrices(types: MachineType[]): string {
  return JSON.stringify(types.map((type) => ({ ...type, price: 0, spotPrice: 0 })));
}
