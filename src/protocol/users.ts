/** The users' interface: submissions, the state of jobs, and which request a path means. The users' own words end here. */
import type { JobKind, JobSpec, Priority } from "./model.js";
import {
  asArray,
  asBoolean,
  asNonEmptyString,
  asNonNegativeInteger,
  asNonNegativeNumber,
  asObject,
  type JsonObject,
} from "./json.js";

const KINDS: Record<string, JobKind> = { array: "array", ensemble: "gang", standing: "service" };
const PRIORITIES: Record<string, Priority> = { prod: 3, high: 2, standard: 1, best_effort: 0 };
const MAX_TASKS = 100_000;
const JOB_ID = /^job-[0-9]{1,40}$/;

/** How far a job is, as users see it. */
export type JobPhase = "pending" | "running" | "done" | "cancelled";

const PHASE_WORDS: Record<JobPhase, string> = {
  pending: "pending",
  running: "running",
  done: "done",
  cancelled: "withdrawn",
};

/** Does the text have the form of a job's id? */
export function isJobId(text: string): boolean {
  return JOB_ID.test(text);
}

/** One field of a submission: the users' name for it, and how its value is read and written. */
interface SubmissionField<T> {
  name: string;
  /** Null: the value is malformed. */
  decode(value: unknown): T | null;
  encode(value: T): unknown;
  /** Null and missing mean the same. */
  isOptional: boolean;
}

function required<T>(name: string, decode: (value: unknown) => T | null): SubmissionField<T> {
  return { name, decode, encode: (value) => value, isOptional: false };
}

function optional<T>(name: string, decode: (value: unknown) => T | null): SubmissionField<T | null> {
  return { name, decode, encode: (value) => value, isOptional: true };
}

/** A field whose value is one of a table's words. */
function oneOf<T>(name: string, values: Record<string, T>): SubmissionField<T> {
  return {
    name,
    decode: (word) => (typeof word === "string" && Object.hasOwn(values, word) ? values[word]! : null),
    encode: (value) => Object.keys(values).find((word) => values[word] === value),
    isOptional: false,
  };
}

function asJobId(value: unknown): string | null {
  return typeof value === "string" && isJobId(value) ? value : null;
}

function asTaskCount(value: unknown): number | null {
  const count = asNonNegativeInteger(value);
  return count !== null && count >= 1 && count <= MAX_TASKS ? count : null;
}

function asNames(value: unknown): string[] | null {
  const list = asArray(value);
  return list?.every((entry) => asNonEmptyString(entry) !== null) ? (list as string[]) : null;
}

/** In the order in which malformed fields are named to the user. */
const SUBMISSION_FIELDS: { readonly [Field in keyof JobSpec]: SubmissionField<JobSpec[Field]> } = {
  id: required("ref", asJobId),
  className: required("strain", asNonEmptyString),
  team: required("crew", asNonEmptyString),
  kind: oneOf("form", KINDS),
  priority: oneOf("rank", PRIORITIES),
  tasks: required("spores", asTaskCount),
  cpus: required("cores", asNonNegativeNumber),
  gpus: required("gpus", asNonNegativeNumber),
  memoryGb: required("memoryGb", asNonNegativeNumber),
  image: required("seedstock", asNonEmptyString),
  imageGb: required("pullGb", asNonNegativeNumber),
  types: optional("breeds", asNames),
  zone: optional("patch", asNonEmptyString),
  oneZone: required("together", asBoolean),
  spread: required("scatter", asBoolean),
  spot: required("windfall", asBoolean),
  estimateS: required("guessS", asNonNegativeNumber),
  checkpointS: required("cairnS", asNonNegativeNumber),
  saveS: required("stashS", asNonNegativeNumber),
  deadlineS: optional("dueS", asNonNegativeNumber),
};

const SPEC_FIELDS = Object.keys(SUBMISSION_FIELDS) as (keyof JobSpec)[];

/** The codec of a spec's field, for loops over all of them; each is only given values of its own field. */
function submissionField(field: keyof JobSpec): SubmissionField<unknown> {
  return SUBMISSION_FIELDS[field];
}

/** What became of reading a submission. */
export type DecodedSubmission =
  | { kind: "valid"; spec: JobSpec }
  /** The reason is for the user. */
  | { kind: "malformed"; reason: string };

/** Checks the form of a submission only; whether such a job can ever run is for its receiver to say. */
export function decodeSubmission(value: unknown): DecodedSubmission {
  const body = asObject(value);
  if (!body) return { kind: "malformed", reason: "the body must be a JSON object" };
  const spec: Partial<Record<keyof JobSpec, unknown>> = {};
  const malformed: string[] = [];
  for (const field of SPEC_FIELDS) {
    const { name, decode, isOptional } = submissionField(field);
    const wireValue = body[name];
    const isMissing = wireValue === undefined || wireValue === null;
    const decoded = isMissing ? null : decode(wireValue);
    if (decoded === null && !(isMissing && isOptional)) malformed.push(name);
    spec[field] = decoded;
  }
  if (malformed.length > 0) {
    return { kind: "malformed", reason: `missing or invalid: ${malformed.join(", ")}` };
  }
  return { kind: "valid", spec: spec as JobSpec };
}

/** A submission as its users write it. */
export function encodeSubmission(spec: JobSpec): JsonObject {
  const body: JsonObject = {};
  for (const field of SPEC_FIELDS) {
    const { name, encode } = submissionField(field);
    body[name] = encode(spec[field]);
  }
  return body;
}

/** The response to a submission or a cancellation. */
export function encodeJobPhase(id: string, phase: JobPhase): JsonObject {
  return { ref: id, phase: PHASE_WORDS[phase] };
}

/** The response to a request for a job's state, with its numbers of finished and of running tasks. */
export function encodeJobStatus(id: string, phase: JobPhase, done: number, running: number): JsonObject {
  return { ref: id, phase: PHASE_WORDS[phase], done, running };
}

const HEARTBEAT_PATH = "/checkin";
const READY_PATH = "/ready";
const JOBS_PATH = "/v1/jobs";
const JOB_PATH = /^\/v1\/jobs\/([^/]+)(\/cancel)?$/;

/** What a request to a controller asks for. */
export type ApiRoute =
  | { call: "submit" }
  | { call: "show"; id: string }
  | { call: "cancel"; id: string }
  | { call: "ready" }
  | { call: "heartbeat" }
  /** With 405, `allow` names the path's only method. */
  | { call: "none"; status: 404 | 405; allow?: string };

function routeFor(method: string, expectedMethod: "GET" | "POST", found: ApiRoute): ApiRoute {
  return method === expectedMethod ? found : { call: "none", status: 405, allow: expectedMethod };
}

/** Which call a method and a path (without query) mean. */
export function routeRequest(method: string, path: string): ApiRoute {
  if (path === HEARTBEAT_PATH) return routeFor(method, "POST", { call: "heartbeat" });
  if (path === READY_PATH) return routeFor(method, "GET", { call: "ready" });
  if (path === JOBS_PATH) return routeFor(method, "POST", { call: "submit" });
  const match = JOB_PATH.exec(path);
  if (!match) return { call: "none", status: 404 };
  const id = match[1]!;
  const isCancel = match[2] !== undefined;
  return isCancel
    ? routeFor(method, "POST", { call: "cancel", id })
    : routeFor(method, "GET", { call: "show", id });
}
