/**
 * What experience teaches a leader's process: machine types, run times, needs of accelerator jobs, spot
 * interruptions. Outlives terms, is never relied on for a proof.
 */
import type { JobSpec, MachineType } from "../../protocol/model.js";
import { RunTimeEstimator } from "./runTimeEstimator.js";
import type { AcceleratorReserve } from "./views.js";

const MS_PER_HOUR = 3_600_000;
/** Spot machines are counted every tick; after a longer gap nobody knows how many ran meanwhile. */
const MAX_SPOT_SAMPLE_GAP_MS = 2000;

/** What a controller knows across terms: machine types, run times, GPU jobs' needs and the rate of spot interruptions. */
export class Estimates {
  types: MachineType[] = [];
  /** Machine types have been read; without them nothing can be placed. */
  areTypesKnown = false;
  readonly runTimes = new RunTimeEstimator();
  /** Counts changes of what `acceleratorReserveOn` returns. */
  acceleratorReserveRevision = 0;
  /** The first GPU job seen of each class. */
  private readonly gpuJobByClass = new Map<string, JobSpec>();

  /** Interruptions seen, and hours that all spot machines ran; starts with a guess of one interruption in an hour. */
  private spotInterruptions = 1;
  private spotHours = 1;
  private lastSpotSampleMs = -Infinity;

  constructor(
    /** Zones in which a controller runs. */
    readonly controllerZones: Set<string>,
  ) {}

  /** Null: the cloud offers no such type, or types are not known yet. */
  typeNamed(name: string): MachineType | null {
    return this.types.find((type) => type.name === name) ?? null;
  }

  /** Replaces the machine types. True when more than prices has changed. */
  setTypes(types: MachineType[]): boolean {
    const isChanged = !this.areTypesKnown || withoutPrices(types) !== withoutPrices(this.types);
    this.types = types;
    this.areTypesKnown = true;
    return isChanged;
  }

  /** A spot machine was interrupted by the cloud. */
  recordSpotInterruption(): void {
    this.spotInterruptions++;
  }

  /** So many spot machines are up at this moment; to be called at every tick. */
  recordSpotUptime(machines: number, nowMs: number): void {
    const sinceMs = nowMs - this.lastSpotSampleMs;
    if (sinceMs < MAX_SPOT_SAMPLE_GAP_MS) this.spotHours += (machines * sinceMs) / MS_PER_HOUR;
    this.lastSpotSampleMs = nowMs;
  }

  /** Interruptions of one spot machine in an hour, as seen so far. */
  get interruptionsPerHour(): number {
    return this.spotInterruptions / this.spotHours;
  }

  /** Remembers what GPU jobs need, class by class. */
  recordAcceleratorJob(spec: JobSpec): void {
    if (spec.gpus <= 0 || this.gpuJobByClass.has(spec.className)) return;
    this.acceleratorReserveRevision++;
    this.gpuJobByClass.set(spec.className, spec);
  }

  /**
   * What each accelerator of such a machine has to keep beside it: the most that any GPU job that may run there needs.
   * Null: it has no accelerators, or no GPU job may run there.
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

/** A text that is equal for types that differ in nothing but prices. */
function withoutPrices(types: MachineType[]): string {
  return JSON.stringify(types.map((type) => ({ ...type, price: 0, spotPrice: 0 })));
}
