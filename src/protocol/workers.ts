import type { Command, ExitCause, Heartbeat, TaskStatus, TaskPhase } from "./model.js";
import {
  asNonNegativeNumber,
  asNonNegativeInteger,
  asArray,
  asObject,
  asNonEmptyString,
  type JsonObject,
} from "./json.js";

const PHASES: Record<string, TaskPhase> = {
  fetching: "fetching",
  gathering: "waiting",
  running: "running",
  flushing: "saving",
  exited: "exited",
};
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

export function taskName(jobId: string, task: number): string {
  return `${jobId}/${task}`;
}

const ZERO = 48;

/** The number behind the last slash of a task's name, digit by digit: reports are read hundreds of times a second. */
function taskNumber(name: string, at: number): number {
  if (at + 1 >= name.length || name.length - at > 10) return -1;
  let task = 0;
  for (let i = at + 1; i < name.length; i++) {
    const digit = name.charCodeAt(i) - ZERO;
    if (digit < 0 || digit > 9) return -1;
    task = task * 10 + digit;
  }
  return task;
}

function decodeTask(value: unknown): TaskStatus | null {
  const o = asObject(value);
  if (!o || typeof o.spore !== "string" || typeof o.phase !== "string") return null;
  const name = o.spore;
  const at = name.lastIndexOf("/");
  const task = at > 0 ? taskNumber(name, at) : -1;
  const attempt = asNonNegativeInteger(o.sprout);
  const phase = PHASES[o.phase];
  if (task < 0 || attempt === null || !phase) return null;
  const cause = phase === "exited" ? (CAUSES[asNonEmptyString(o.cause) ?? ""] ?? "other") : null;
  return { jobId: name.slice(0, at), task, attempt, phase, cause, saved: o.kept === true };
}

/** A worker's report; null when it can't be one. A task we can't read spoils the whole report:
 * dropping it alone would make it look gone. */
export function decodeHeartbeat(value: unknown): Heartbeat | null {
  const o = asObject(value);
  if (!o) return null;
  const machine = asNonEmptyString(o.tuft);
  const epoch = asNonNegativeInteger(o.bloom);
  const tick = asNonNegativeInteger(o.tick);
  const list = asArray(o.spores ?? []);
  if (machine === null || epoch === null || tick === null || !list) return null;
  const tasks: TaskStatus[] = [];
  for (const entry of list) {
    const task = decodeTask(entry);
    if (!task) return null;
    tasks.push(task);
  }
  return {
    machine,
    address: asNonEmptyString(o.address) ?? "",
    type: asNonEmptyString(o.breed) ?? "",
    zone: asNonEmptyString(o.patch) ?? "",
    spot: o.windfall === true,
    epoch,
    tick,
    fencingToken: asNonNegativeInteger(o.crook) ?? 0,
    interruptionNoticeS: o.warningS === undefined ? null : asNonNegativeNumber(o.warningS),
    tasks,
  };
}

function encodeCommand(command: Command): JsonObject {
  const base = { spore: taskName(command.jobId, command.task), sprout: command.attempt };
  if (command.op === "stop") return { verb: "stop", ...base, wiltS: command.graceS };
  return { verb: command.op, ...base };
}

export function encodeHeartbeatResponse(token: number, commands: Command[]): JsonObject {
  return { crook: token, bids: commands.map(encodeCommand) };
}

export function encodeDirectCommands(token: number, session: number, commands: Command[]): JsonObject {
  return { crook: token, bloom: session, bids: commands.map(encodeCommand) };
}

export const DIRECT_COMMANDS_PATH = "/commands";

/** 421 sends a worker on; naming nobody makes it try the next node by itself. */
export function encodeRedirect(leader: string | null): JsonObject {
  return leader === null ? {} : { steward: leader };
}
