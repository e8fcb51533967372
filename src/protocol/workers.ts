/** Codecs of the worker protocol: heartbeats, their responses and commands. Only this module knows its field names. */
import type { Command, ExitCause, Heartbeat, TaskPhase, TaskStatus } from "./model.js";
import {
  asArray,
  asNonEmptyString,
  asNonNegativeInteger,
  asNonNegativeNumber,
  asObject,
  type JsonObject,
} from "./json.js";

const PHASES: Record<string, TaskPhase> = {
  fetching: "fetching",
  gathering: "waiting",
  running: "running",
  flushing: "saving",
  exited: "exited",
};

/** The exit causes by their wire names; a cause that is not listed is decoded as `other`. */
const CAUSES: Record<string, ExitCause> = {
  done: "done",
  stopped: "stopped",
  peers: "peers",
  incomplete: "incomplete",
  error: "error",
  no_room: "no_room",
  in_use: "in_use",
  unknown: "unknown",
};

const CHAR_CODE_OF_ZERO = 48;
/** No task index has more digits, and an index of this length is exact in a double. */
const MAX_TASK_DIGITS = 9;

/** The path at which a worker accepts commands. */
export const DIRECT_COMMANDS_PATH = "/commands";

/** Returns the name of a task on the wire: the job id, a slash and the task's index. */
export function taskName(jobId: string, task: number): string {
  return `${jobId}/${task}`;
}

/**
 * Returns the task index after the last slash of a task name, or -1 if there is no valid index. It parses digit by
 * digit for speed, because it runs for each task of each heartbeat.
 */
function taskNumber(name: string, slashIndex: number): number {
  const digits = name.length - slashIndex - 1;
  if (digits < 1 || digits > MAX_TASK_DIGITS) return -1;
  let task = 0;
  for (let index = slashIndex + 1; index < name.length; index++) {
    const digit = name.charCodeAt(index) - CHAR_CODE_OF_ZERO;
    if (digit < 0 || digit > 9) return -1;
    task = task * 10 + digit;
  }
  return task;
}

function decodeTask(value: unknown): TaskStatus | null {
  const entry = asObject(value);
  if (!entry || typeof entry.spore !== "string" || typeof entry.phase !== "string") return null;
  const name = entry.spore;
  const slashIndex = name.lastIndexOf("/");
  const task = slashIndex > 0 ? taskNumber(name, slashIndex) : -1;
  const attempt = asNonNegativeInteger(entry.sprout);
  const phase = PHASES[entry.phase];
  if (task < 0 || attempt === null || !phase) return null;
  const cause = phase === "exited" ? (CAUSES[asNonEmptyString(entry.cause) ?? ""] ?? "other") : null;
  return {
    jobId: name.slice(0, slashIndex),
    task,
    attempt,
    phase,
    cause,
    checkpointSaved: entry.kept === true,
  };
}

/**
 * Decodes a heartbeat; null if it is malformed. One malformed task makes the whole heartbeat malformed, because the
 * leader would take a skipped task for one that no longer exists on the machine.
 */
export function decodeHeartbeat(value: unknown): Heartbeat | null {
  const body = asObject(value);
  if (!body) return null;
  const machine = asNonEmptyString(body.tuft);
  const epoch = asNonNegativeInteger(body.bloom);
  const tick = asNonNegativeInteger(body.tick);
  const entries = asArray(body.spores ?? []);
  if (machine === null || epoch === null || tick === null || !entries) return null;
  const tasks: TaskStatus[] = [];
  for (const entry of entries) {
    const task = decodeTask(entry);
    if (!task) return null;
    tasks.push(task);
  }
  return {
    machine,
    address: asNonEmptyString(body.address) ?? "",
    type: asNonEmptyString(body.breed) ?? "",
    zone: asNonEmptyString(body.patch) ?? "",
    spot: body.windfall === true,
    epoch,
    tick,
    fencingToken: asNonNegativeInteger(body.crook) ?? 0,
    interruptionNoticeS: body.warningS === undefined ? null : asNonNegativeNumber(body.warningS),
    tasks,
  };
}

function encodeCommand(command: Command): JsonObject {
  const target = { spore: taskName(command.jobId, command.task), sprout: command.attempt };
  if (command.op === "stop") return { verb: "stop", ...target, wiltS: command.graceS };
  return { verb: command.op, ...target };
}

/** Encodes the body of a 200 response to a heartbeat, which renews the worker's lease and may contain commands. */
export function encodeHeartbeatResponse(fencingToken: number, commands: Command[]): JsonObject {
  return { crook: fencingToken, bids: commands.map(encodeCommand) };
}

/** Encodes commands that are sent to a worker outside its heartbeats. A worker with another epoch rejects them. */
export function encodeDirectCommands(fencingToken: number, epoch: number, commands: Command[]): JsonObject {
  return { crook: fencingToken, bloom: epoch, bids: commands.map(encodeCommand) };
}

/** Encodes the body of a 421 response, which redirects a worker to a node; with null, the worker chooses one. */
export function encodeRedirect(node: string | null): JsonObject {
  return node === null ? {} : { steward: node };
}
