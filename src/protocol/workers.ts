/** Heartbeats of workers, the responses to them, and commands sent to workers. The workers' own words end here. */
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

/** Causes that this version doesn't know count as "other". */
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
/** More digits than any task number has; keeps the number exact. */
const MAX_TASK_DIGITS = 9;

/** The path at which a worker takes commands. */
export const DIRECT_COMMANDS_PATH = "/commands";

/** A task's name as workers and users know it. */
export function taskName(jobId: string, task: number): string {
  return `${jobId}/${task}`;
}

/** The number behind a task name's last slash; -1 when it is none. Digit by digit: it runs for each task of a heartbeat. */
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
  return { jobId: name.slice(0, slashIndex), task, attempt, phase, cause, saved: entry.kept === true };
}

/**
 * A worker's heartbeat; null when it can't be one. A task that can't be read makes the whole heartbeat unreadable: without
 * it, the task would look gone.
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

/** The body of a 200 to a heartbeat: it renews the worker's lease and may bring commands. */
export function encodeHeartbeatResponse(fencingToken: number, commands: Command[]): JsonObject {
  return { crook: fencingToken, bids: commands.map(encodeCommand) };
}

/** Commands sent to a worker outside its heartbeats; one with another epoch refuses them. */
export function encodeDirectCommands(fencingToken: number, epoch: number, commands: Command[]): JsonObject {
  return { crook: fencingToken, bloom: epoch, bids: commands.map(encodeCommand) };
}

/** The body of a 421, which sends a worker to that node; with null it picks the next node by itself. */
export function encodeRedirect(node: string | null): JsonObject {
  return node === null ? {} : { steward: node };
}
