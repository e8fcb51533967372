import type { JobSpec, MachineType } from "../../protocol/model.js";
import type { Resources } from "../../bookkeeping/resources.js";

/** Snapshots that the pure decisions work on. The placer makes them; decisions may scribble on them. */

export interface VictimView {
  /** Whatever the placer kept; decisions hand it back. */
  ref: unknown;
  jobId: string;
  team: string;
  priority: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Seconds of work lost by stopping it now. */
  lossS: (nowMs: number) => number;
}

export interface MachineView {
  name: string;
  type: MachineType;
  zone: string;
  spot: boolean;
  free: Resources;
  /** What tasks that are being stopped will leave. */
  leaving: Resources;
  images: Set<string>;
  /** Images on their way: a task can wait for one of them without a fetch of its own. */
  fetching: Set<string>;
  backlogGb: number;
  /** A controller stands in its zone, so that a cut between zones doesn't silence it. */
  zoneHasController: boolean;
  /** Highest priority that waits for a fetch there; -1: none. */
  fetchPriority: number;
  /** Room that a reservation keeps, for whom, and in how many seconds that one expects to begin. */
  reserved: { jobId: string; amount: Resources; etaS: number } | null;
  /** Made only for who asks: most cycles stop nobody. */
  victims: () => VictimView[];
  /** What work with accelerators wants beside each of them here; null: none of it may come here. */
  acceleratorReserve: AcceleratorReserve | null;
  /** Such work runs here now, so that the machine is paid for anyway. */
  gpuInUse: boolean;
  /** Since when nothing runs here; null: something does, or it is not up. */
  idleSinceMs: number | null;
  /** Seconds until what runs here should be over. */
  freeInS: (nowMs: number) => number;
}

/** The most that work with accelerators, as seen so far, takes for each of them. */
export interface AcceleratorReserve {
  cpus: number;
  memoryGb: number;
}

/** A machine with nothing on it, as it will be when it is up. */
export function emptyView(
  type: MachineType,
  zone: string,
  spot: boolean,
  acceleratorReserve: AcceleratorReserve | null,
): MachineView {
  return {
    name: "",
    type,
    zone,
    spot,
    free: { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb },
    leaving: { cpus: 0, gpus: 0, memoryGb: 0 },
    images: new Set(),
    fetching: new Set(),
    backlogGb: 0,
    fetchPriority: -1,
    zoneHasController: true,
    reserved: null,
    victims: () => [],
    acceleratorReserve,
    gpuInUse: false,
    idleSinceMs: null,
    freeInS: () => 0,
  };
}

export interface JobView {
  spec: JobSpec;
  /** Tasks without result or attempt. */
  pending: number;
  /** Tasks to place now at the most: a large job that has waited long begins with a few. */
  taskLimit: number;
  /** Of these, tasks to place before others of its kind have their share of the room. */
  fairShareTasks: number;
  guaranteed: boolean;
  /** Tasks that may be somewhere, by zone. */
  zones: Map<string, number>;
  avoid: Set<string>;
  /** Seconds that its tasks may still wait for a start without missing their class's target; null: no target left. */
  waitTargetLeftS: number | null;
  /** Where a move wants it; null: anywhere. */
  preferredMachine: string | null;
  /** Seconds that one of its tasks is expected to run. */
  taskS: number;
  /** It has waited so long that room is kept for it, though not all of it is there. */
  aged: boolean;
}

export interface QuotaView {
  /** Tasks of this job's shape that the team may still start. */
  room(spec: JobSpec): number;
  /** Tasks of this job's shape that fit once the team's tasks that are being stopped are gone. */
  roomWhenStopped(spec: JobSpec): number;
  /** Tasks of this job's shape that fit once all the team's work is gone that ends by itself or may be stopped for it. */
  attainable(spec: JobSpec): number;
  take(spec: JobSpec, tasks: number): void;
}

const EPS = 1e-6;

export function fits(spec: JobSpec, free: Resources): boolean {
  return spec.cpus <= free.cpus + EPS && spec.gpus <= free.gpus + EPS && spec.memoryGb <= free.memoryGb + EPS;
}

export function howMany(spec: JobSpec, free: Resources): number {
  const by = (need: number, have: number): number => (need > 0 ? Math.floor((have + EPS) / need) : Infinity);
  return Math.max(
    0,
    Math.min(by(spec.cpus, free.cpus), by(spec.gpus, free.gpus), by(spec.memoryGb, free.memoryGb)),
  );
}

export function takeFrom(free: Resources, spec: JobSpec, tasks: number): void {
  free.cpus -= spec.cpus * tasks;
  free.gpus -= spec.gpus * tasks;
  free.memoryGb -= spec.memoryGb * tasks;
}

export function addTo(free: Resources, what: Resources): void {
  free.cpus += what.cpus;
  free.gpus += what.gpus;
  free.memoryGb += what.memoryGb;
}

/** Type, zone and kind that the job itself asks for (rule `wrong_place`). */
export function allows(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (!spot || spec.spot)
  );
}

/** Tasks that a zone may still take, given where others of the job may be (rule `wrong_place`). */
export function zoneRoom(spec: JobSpec, zones: Map<string, number>, zone: string): number {
  if (spec.oneZone) for (const [other, n] of zones) if (other !== zone && n > 0) return 0;
  if (!spec.spread) return Infinity;
  return Math.ceil(spec.tasks / 2) - (zones.get(zone) ?? 0);
}
