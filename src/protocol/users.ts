/**
 * The user API: the codecs of submissions and job statuses, and the routing of requests. Only this module knows the
 * names that users see.
 */
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

/** The phase of a job that users see. */
export type JobPhase = "pending" | "running" | "done" | "cancelled";

const PHASE_NAMES: Record<JobPhase, string> = {
  pending: "pending",
  running: "running",
  done: "done",
  cancelled: "withdrawn",
};

/** Returns whether the text has the format of a job id. */
export function isJobId(text: string): boolean {
  return JOB_ID.test(text);
}

/** The codec of one field of a submission. */
interface SubmissionField<T> {
  /** The name of the field in a submission. */
  name: string;
  /** Returns null if the value is malformed. */
  decode(value: unknown): T | null;
  encode(value: T): unknown;
  /** The field may be missing or null, and is then decoded as null. */
  isOptional: boolean;
}

function required<T>(name: string, decode: (value: unknown) => T | null): SubmissionField<T> {
  return { name, decode, encode: (value) => value, isOptional: false };
}

function optional<T>(name: string, decode: (value: unknown) => T | null): SubmissionField<T | null> {
  return { name, decode, encode: (value) => value, isOptional: true };
}

/** A field whose value is one of the table's keys. */
function oneOf<T>(name: string, values: Record<string, T>): SubmissionField<T> {
  return {
    name,
    decode: (key) => (typeof key === "string" && Object.hasOwn(values, key) ? values[key]! : null),
    encode: (value) => Object.keys(values).find((key) => values[key] === value),
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

/** The codecs of all fields, in the order in which an error message names malformed fields. */
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

/** Returns the codec of a field for loops over all fields. The caller must pass it only values of that field. */
function submissionField(field: keyof JobSpec): SubmissionField<unknown> {
  return SUBMISSION_FIELDS[field];
}

/** The result of decoding a submission. */
export type DecodedSubmission =
  | { kind: "valid"; spec: JobSpec }
  /** `reason` is an error message for the user. */
  | { kind: "malformed"; reason: string };

/** Decodes a submission and validates its format. It does not check whether the job can ever run; admission does. */
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

/** Encodes a submission in the format in which users write it. */
export function encodeSubmission(spec: JobSpec): JsonObject {
  const body: JsonObject = {};
  for (const field of SPEC_FIELDS) {
    const { name, encode } = submissionField(field);
    body[name] = encode(spec[field]);
  }
  return body;
}

/** Encodes the response to a submission or a cancellation. */
export function encodeJobPhase(id: string, phase: JobPhase): JsonObject {
  return { ref: id, phase: PHASE_NAMES[phase] };
}

/** Encodes the response to a status request, with the numbers of the job's finished and running tasks. */
export function encodeJobStatus(id: string, phase: JobPhase, done: number, running: number): JsonObject {
  return { ref: id, phase: PHASE_NAMES[phase], done, running };
}

const HEARTBEAT_PATH = "/checkin";
const READY_PATH = "/ready";
const JOBS_PATH = "/v1/jobs";
const JOB_PATH = /^\/v1\/jobs\/([^/]+)(\/cancel)?$/;

/** The API call that a request to a controller is routed to. */
export type ApiRoute =
  | { call: "submit" }
  | { call: "show"; id: string }
  | { call: "cancel"; id: string }
  | { call: "ready" }
  | { call: "heartbeat" }
  /** There is no such path (404) or method (405); with 405, `allow` is the only method of the path. */
  | { call: "none"; status: 404 | 405; allow?: string };

function routeFor(method: string, expectedMethod: "GET" | "POST", found: ApiRoute): ApiRoute {
  return method === expectedMethod ? found : { call: "none", status: 405, allow: expectedMethod };
}

/** Routes a request by its method and its path without the query string. */
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
