import type { JobKind, JobSpec, Priority } from "./model.js";
import {
  asNonNegativeNumber,
  asNonNegativeInteger,
  asArray,
  asObject,
  asNonEmptyString,
  type JsonObject,
} from "./json.js";

const KINDS: Record<string, JobKind> = { array: "array", ensemble: "gang", standing: "service" };
const PRIORITIES: Record<string, Priority> = { prod: 3, high: 2, standard: 1, best_effort: 0 };
const MAX_TASKS = 100_000;
const JOB_ID = /^job-[0-9]{1,40}$/;

export type JobPhase = "pending" | "running" | "done" | "cancelled";
const PHASE_WORDS: Record<JobPhase, string> = {
  pending: "pending",
  running: "running",
  done: "done",
  cancelled: "withdrawn",
};

export function isJobId(text: string): boolean {
  return JOB_ID.test(text);
}

/** A submission as its users write it, or what is wrong with it. */
export function decodeSubmission(value: unknown): { spec: JobSpec } | { wrong: string } {
  const o = asObject(value);
  if (!o) return { wrong: "the body must be a JSON object" };
  const wrong: string[] = [];
  const need = <T>(field: string, read: (v: unknown) => T | null, fallback: T): T => {
    const got = read(o[field]);
    if (got === null) wrong.push(field);
    return got ?? fallback;
  };
  /** Null and missing mean the same. */
  const maybe = <T>(field: string, read: (v: unknown) => T | null): T | null => {
    if (o[field] === undefined || o[field] === null) return null;
    return need(field, read as (v: unknown) => (T & {}) | null, null as never);
  };
  const flag = (v: unknown): boolean | null => (typeof v === "boolean" ? v : null);
  const names = (v: unknown): string[] | null => {
    const list = asArray(v);
    return list && list.every((x) => asNonEmptyString(x) !== null) ? (list as string[]) : null;
  };
  const spec: JobSpec = {
    id: need("ref", (v) => (typeof v === "string" && isJobId(v) ? v : null), ""),
    className: need("strain", asNonEmptyString, ""),
    team: need("crew", asNonEmptyString, ""),
    kind: need("form", (v) => (typeof v === "string" && Object.hasOwn(KINDS, v) ? KINDS[v]! : null), "array"),
    priority: need(
      "rank",
      (v) => (typeof v === "string" && Object.hasOwn(PRIORITIES, v) ? PRIORITIES[v]! : null),
      1,
    ),
    tasks: need(
      "spores",
      (v) => {
        const n = asNonNegativeInteger(v);
        return n !== null && n >= 1 && n <= MAX_TASKS ? n : null;
      },
      1,
    ),
    cpus: need("cores", asNonNegativeNumber, 0),
    gpus: need("gpus", asNonNegativeNumber, 0),
    memoryGb: need("memoryGb", asNonNegativeNumber, 0),
    image: need("seedstock", asNonEmptyString, ""),
    imageGb: need("pullGb", asNonNegativeNumber, 0),
    types: maybe("breeds", names),
    zone: maybe("patch", asNonEmptyString),
    oneZone: need("together", flag, false),
    spread: need("scatter", flag, false),
    spot: need("windfall", flag, false),
    estimateS: need("guessS", asNonNegativeNumber, 0),
    checkpointS: need("cairnS", asNonNegativeNumber, 0),
    saveS: need("stashS", asNonNegativeNumber, 0),
    deadlineS: maybe("dueS", asNonNegativeNumber),
  };
  return wrong.length > 0 ? { wrong: `missing or invalid: ${wrong.join(", ")}` } : { spec };
}

/** A submission as it goes over the wire: the command line's own client uses it. */
export function encodeSubmission(spec: JobSpec): JsonObject {
  const word = <T>(table: Record<string, T>, value: T): string =>
    Object.keys(table).find((key) => table[key] === value)!;
  return {
    ref: spec.id,
    strain: spec.className,
    crew: spec.team,
    form: word(KINDS, spec.kind),
    rank: word(PRIORITIES, spec.priority),
    spores: spec.tasks,
    cores: spec.cpus,
    gpus: spec.gpus,
    memoryGb: spec.memoryGb,
    seedstock: spec.image,
    pullGb: spec.imageGb,
    breeds: spec.types,
    patch: spec.zone,
    together: spec.oneZone,
    scatter: spec.spread,
    windfall: spec.spot,
    guessS: spec.estimateS,
    cairnS: spec.checkpointS,
    stashS: spec.saveS,
    dueS: spec.deadlineS,
  };
}

export function encodeJobPhase(id: string, phase: JobPhase): JsonObject {
  return { ref: id, phase: PHASE_WORDS[phase] };
}

export function encodeJobStatus(id: string, phase: JobPhase, done: number, running: number): JsonObject {
  return { ref: id, phase: PHASE_WORDS[phase], done, running };
}

export type ApiRoute =
  | { call: "submit" }
  | { call: "show"; id: string }
  | { call: "cancel"; id: string }
  | { call: "ready" }
  | { call: "report" }
  | { call: "none"; status: 404 | 405; allow?: string };

/** Which call a method and a path mean. */
export function routeRequest(method: string, path: string): ApiRoute {
  const wants = (verb: string, call: ApiRoute): ApiRoute =>
    method === verb ? call : { call: "none", status: 405, allow: verb };
  if (path === "/checkin") return wants("POST", { call: "report" });
  if (path === "/ready") return wants("GET", { call: "ready" });
  if (path === "/v1/jobs") return wants("POST", { call: "submit" });
  const match = /^\/v1\/jobs\/([^/]+)(\/cancel)?$/.exec(path);
  if (match) {
    return match[2]
      ? wants("POST", { call: "cancel", id: match[1]! })
      : wants("GET", { call: "show", id: match[1]! });
  }
  return { call: "none", status: 404 };
}
