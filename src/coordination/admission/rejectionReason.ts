/** Decides whether a job could ever run on the cloud's machine types within its team's limits. Pure functions. */
import type { JobSpec, MachineType } from "../../protocol/model.js";
import type { Team } from "../../settings/platform.js";

/** Tolerance, in cores or GPUs, for floating-point rounding when a job's requests are compared with a limit. */
const ROUNDING_TOLERANCE = 1e-6;

/** The reason why the job can never run, as a message for its user; null if it can run. */
export function rejectionReason(spec: JobSpec, types: MachineType[], teams: Team[]): string | null {
  const team = teams.find((candidate) => candidate.name === spec.team);
  if (!team) return `unknown team ${spec.team}`;
  const fitting = types.filter((type) => fitsType(spec, type));
  if (fitting.length === 0) return "a task fits no allowed machine type";
  if (needsSeveralZones(spec) && !canUseSeveralZones(spec, fitting))
    return "its tasks must run in different zones, and may not";
  return quotaRejectionReason(spec, team);
}

function fitsType(spec: JobSpec, type: MachineType): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || type.zones.includes(spec.zone)) &&
    type.cpus >= spec.cpus &&
    type.gpus >= spec.gpus &&
    type.memoryGb >= spec.memoryGb
  );
}

/** All tasks of a gang or a service run at once; if they are spread, at most half of them may share a zone. */
function needsSeveralZones(spec: JobSpec): boolean {
  return spec.kind !== "array" && spec.tasks > 1 && spec.spread;
}

function canUseSeveralZones(spec: JobSpec, fitting: MachineType[]): boolean {
  const zones = new Set(spec.zone === null ? fitting.flatMap((type) => type.zones) : [spec.zone]);
  return !spec.oneZone && zones.size >= 2;
}

/** An array may run its tasks one after another; a gang or a service needs quota for all of its tasks at once. */
function quotaRejectionReason(spec: JobSpec, team: Team): string | null {
  const tasksAtOnce = spec.kind === "array" ? 1 : spec.tasks;
  if (spec.cpus * tasksAtOnce > team.maxCpus + ROUNDING_TOLERANCE)
    return `needs more cpus than ${team.name} may use`;
  if (spec.gpus * tasksAtOnce > team.maxGpus + ROUNDING_TOLERANCE)
    return `needs more gpus than ${team.name} may use`;
  return null;
}
