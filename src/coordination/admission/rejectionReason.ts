/** Whether a job could ever run on the cloud's machine types within its team's limits. Pure. */
import type { JobSpec, MachineType } from "../../protocol/model.js";
import type { Team } from "../../settings/platform.js";

/** Sums of decimal fractions may be wrong by this much. */
const ROUNDING_SLACK = 1e-6;

/** Why the job can never run, in words for its user; null when it can. */
export function rejectionReason(spec: JobSpec, types: MachineType[], teams: Team[]): string | null {
  const team = teams.find((candidate) => candidate.name === spec.team);
  if (!team) return `unknown team ${spec.team}`;
  const fitting = types.filter((type) => fitsType(spec, type));
  if (fitting.length === 0) return "a task fits no allowed machine type";
  if (needsSeveralZones(spec) && !maySpread(spec, fitting))
    return "its tasks must run in different zones, and may not";
  return quotaExcess(spec, team);
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

/** All tasks of a gang or a service run at once, and when they are spread, one zone takes half of them at most. */
function needsSeveralZones(spec: JobSpec): boolean {
  return spec.kind !== "array" && spec.tasks > 1 && spec.spread;
}

function maySpread(spec: JobSpec, fitting: MachineType[]): boolean {
  const zones = new Set(spec.zone === null ? fitting.flatMap((type) => type.zones) : [spec.zone]);
  return !spec.oneZone && zones.size >= 2;
}

/** An array may run one task after the other; a gang or a service needs room for all of its tasks. */
function quotaExcess(spec: JobSpec, team: Team): string | null {
  const tasksAtOnce = spec.kind === "array" ? 1 : spec.tasks;
  if (spec.cpus * tasksAtOnce > team.maxCpus + ROUNDING_SLACK)
    return `needs more cpus than ${team.name} may use`;
  if (spec.gpus * tasksAtOnce > team.maxGpus + ROUNDING_SLACK)
    return `needs more gpus than ${team.name} may use`;
  return null;
}
