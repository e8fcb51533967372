/** Inputs of one scheduling cycle without quotas, capacity refusals or preemption. */
import type { PlacementInput, Reservation } from "../../src/coordination/scheduling/placementPlan.js";
import type { JobView, MachineView } from "../../src/coordination/scheduling/views.js";
import type { JobSpec } from "../../src/protocol/model.js";
import { ARRAY_OF_TWO } from "./jobSpec.js";

/** A waiting array of 40 small tasks; `overrides` replace parts of its spec. */
export function waitingJob(index: number, overrides: Partial<JobSpec> = {}): JobView {
  const small = { tasks: 40, cpus: 2, memoryGb: 4, estimateS: 20 };
  const spec = { ...ARRAY_OF_TWO, ...small, id: `job-${index}`, image: `img-${index % 12}`, ...overrides };
  return {
    spec,
    pendingTasks: spec.tasks,
    taskLimit: Infinity,
    fairShareTasks: Infinity,
    isGuaranteed: false,
    tasksByZone: new Map(),
    avoidedMachines: new Set(),
    waitTargetLeftS: null,
    preferredMachine: null,
    expectedTaskRunTimeS: 20,
    isStarving: false,
  };
}

/** The input of a cycle that may place the jobs on the machines. */
export function cycleInput(
  jobs: JobView[],
  machines: MachineView[],
  reservations: Reservation[] = [],
): PlacementInput {
  return {
    jobs,
    machines,
    incoming: [],
    reservations,
    quota: {
      headroom: () => Infinity,
      headroomAfterStops: () => Infinity,
      attainableHeadroom: () => Infinity,
      recordPlannedTasks: () => undefined,
    },
    maxEvictions: 40,
    maxVictimSearches: 8,
    canPreemptFor: () => false,
    isCapacityRefused: () => false,
    isGuaranteed: () => true,
    interruptionsPerHour: 1,
    nowMs: 0,
  };
}
