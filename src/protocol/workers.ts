import type { Command, ExitCause, Report, ReportedTask, TaskPhase } from "./model.js";
import { asAmount, asCount, asList, asObject, asText, type Json } from "./checks.js";

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

function splitTask(name: string): { jobId: string; task: number } | null {
  const at = name.lastIndexOf("/");
  const task = Number(name.slice(at + 1));
  return at > 0 && Number.isInteger(task) && task >= 0 ? { jobId: name.slice(0, at), task } : null;
}

function decodeTask(value: unknown): ReportedTask | null {
  const o = asObject(value);
  const name = asText(o?.spore);
  const split = name === null ? null : splitTask(name);
  const attempt = asCount(o?.sprout);
  const phase = PHASES[asText(o?.phase) ?? ""];
  if (!o || !split || attempt === null || !phase) return null;
  const word = asText(o.cause);
  const cause = phase === "exited" ? (CAUSES[word ?? ""] ?? "other") : null;
  return { ...split, attempt, phase, cause, saved: o.kept === true };
}

/** A worker's report; null when it can't be one. A task we can't read spoils the whole report:
 * dropping it alone would make it look gone. */
export function decodeReport(value: unknown): Report | null {
  const o = asObject(value);
  if (!o) return null;
  const machine = asText(o.tuft);
  const session = asCount(o.bloom);
  const tick = asCount(o.tick);
  const list = asList(o.spores ?? []);
  if (machine === null || session === null || tick === null || !list) return null;
  const tasks: ReportedTask[] = [];
  for (const entry of list) {
    const task = decodeTask(entry);
    if (!task) return null;
    tasks.push(task);
  }
  return {
    machine,
    address: asText(o.address) ?? "",
    type: asText(o.breed) ?? "",
    zone: asText(o.patch) ?? "",
    spot: o.windfall === true,
    session,
    tick,
    token: asCount(o.crook) ?? 0,
    noticeS: o.warningS === undefined ? null : asAmount(o.warningS),
    tasks,
  };
}

function encodeCommand(command: Command): Json {
  const base = { spore: taskName(command.jobId, command.task), sprout: command.attempt };
  if (command.op === "stop") return { verb: "stop", ...base, wiltS: command.graceS };
  return { verb: command.op, ...base };
}

export function encodeResponse(token: number, commands: Command[]): Json {
  return { crook: token, bids: commands.map(encodeCommand) };
}

export function encodeDirect(token: number, session: number, commands: Command[]): Json {
  return { crook: token, bloom: session, bids: commands.map(encodeCommand) };
}

export const DIRECT_PATH = "/commands";

/** 421 sends a worker on; naming nobody makes it try the next node by itself. */
export function encodeElsewhere(leader: string | null): Json {
  return leader === null ? {} : { steward: leader };
}
