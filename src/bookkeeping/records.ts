/**
 * The stored form of the state store's records, and where they are kept. The form is read by earlier and later versions:
 * the names of stored fields stay as they are, and only this module knows them.
 */
import type { JobSpec } from "../protocol/model.js";
import {
  asNonNegativeNumber,
  asNonNegativeInteger,
  asArray,
  asObject,
  asNonEmptyString,
} from "../protocol/json.js";

/**
 * The key layout. Live and final jobs are kept apart, so that a new leader reads live jobs only:
 *
 *   lead/term         {n, node}                the newest term ever begun
 *   lead/hold         {n, node, life, lease}   the leader, its incarnation (`life`); attached to the leader's lease
 *   j/<job>           head of a live job       written by any controller (accepted, cancelled)
 *   c/<job>/<chunk>   256 tasks' attempts      written by the leader alone
 *   f/<job>           a finished job           never changed again
 *   types             machine types as the cloud last listed them
 *   moves             the last round of moves, written before any of them begins
 */
export const keys = {
  term: "lead/term",
  leader: "lead/hold",
  leadership: "lead/",
  live: "j/",
  chunks: "c/",
  types: "types",
  moves: "moves",
  head: (id: string): string => `j/${id}`,
  final: (id: string): string => `f/${id}`,
  chunk: (id: string, index: number): string => `c/${id}/${index}`,
};

/** The job's id in the key of its head. */
export function jobIdOfHeadKey(key: string): string {
  return key.slice(keys.live.length);
}

/** The job's id in the key of any of its records. */
export function jobIdOfKey(key: string): string {
  return key.split("/")[1] ?? "";
}

/** The chunk's index is not an integer when the key is no chunk's. */
export function parseChunkKey(key: string): { id: string; index: number } {
  const [, id, index] = key.split("/");
  return { id: id ?? "", index: Number(index) };
}

/** Tasks in one chunk: their attempts stay below the smallest value limit even when all of them run. */
export const TASKS_PER_CHUNK = 256;
/** One bit for each task of a chunk. */
export const BITMAP_BYTES = TASKS_PER_CHUNK / 8;

/** What users asked for: the job, and perhaps its cancellation. Any controller writes it. */
export interface JobHead {
  spec: JobSpec;
  /** Time of day of the acceptance. */
  acceptedAt: Date;
  /** Time of day just before its cancellation was committed, so before any user saw it; null: it is not cancelled. */
  cancelledAt: Date | null;
}

/** Fields beside those of the spec: `at` acceptance, `x` cancelled, `xAt` cancellation, both times in ms since 1970. */
export function encodeHead(head: JobHead): unknown {
  const { spec, acceptedAt, cancelledAt } = head;
  return { ...spec, at: acceptedAt.getTime(), x: cancelledAt !== null, xAt: cancelledAt?.getTime() };
}

/** Null: it is no job's head. */
export function decodeHead(value: unknown): JobHead | null {
  const stored = asObject(value);
  const acceptedMs = asNonNegativeNumber(stored?.at);
  if (!stored || acceptedMs === null) return null;
  if (asNonEmptyString(stored.id) === null || asNonNegativeInteger(stored.tasks) === null) return null;
  const { at: _, x: isCancelled, xAt: cancelledMs, ...spec } = stored;
  // Versions before 0.4.0 stored no time of the cancellation: it was no earlier than the acceptance.
  const cancelledAt = isCancelled === true ? new Date(asNonNegativeNumber(cancelledMs) ?? acceptedMs) : null;
  return { spec: spec as unknown as JobSpec, acceptedAt: new Date(acceptedMs), cancelledAt };
}

/** What is kept of a finished job. */
export interface FinalRecord {
  isCancelled: boolean;
  tasks: number;
}

/** Fields: `x` cancelled, `n` number of tasks. */
export function encodeFinal(final: FinalRecord): unknown {
  return { x: final.isCancelled, n: final.tasks };
}

/** Null: it is no final record. */
export function decodeFinal(value: unknown): FinalRecord | null {
  const stored = asObject(value);
  const tasks = asNonNegativeInteger(stored?.n);
  return stored && tasks !== null ? { isCancelled: stored.x === true, tasks } : null;
}

/** An attempt that holds resources, or may: planned, or started and not proved gone. */
export interface AttemptRecord {
  task: number;
  /** The attempt's number: unique among all attempts of all terms. */
  attempt: number;
  machine: string;
  zone: string;
}

/** What is kept of a run of `TASKS_PER_CHUNK` tasks. */
export interface ChunkRecord {
  /** One bit for each task of the chunk that is done. */
  done: Uint8Array;
  attempts: AttemptRecord[];
}

/**
 * Fields: `d` bitmap in base64, `m` machines as "name zone", `a` attempts as [task, attempt, index into `m`]. Machines are
 * named once, so that a full chunk fits the state store's smallest limit of a value.
 */
export function encodeChunk(record: ChunkRecord): unknown {
  const machines: string[] = [];
  const indexByName = new Map<string, number>();
  const attempts = record.attempts.map(({ task, attempt, machine, zone }) => {
    let index = indexByName.get(machine);
    if (index === undefined) {
      index = machines.length;
      indexByName.set(machine, index);
      machines.push(`${machine} ${zone}`);
    }
    return [task, attempt, index];
  });
  return { d: Buffer.from(record.done).toString("base64"), m: machines, a: attempts };
}

/** Null: it is no chunk, or an attempt names no machine. */
export function decodeChunk(value: unknown): ChunkRecord | null {
  const stored = asObject(value);
  const machines = asArray(stored?.m);
  const list = asArray(stored?.a);
  if (!stored || !machines || !list || typeof stored.d !== "string") return null;
  const done = new Uint8Array(BITMAP_BYTES);
  done.set(Buffer.from(stored.d, "base64").subarray(0, done.length));
  const attempts: AttemptRecord[] = [];
  for (const entry of list) {
    const [task, attempt, index] = entry as [number, number, number];
    const [machine, zone] = String(machines[index] ?? "").split(" ");
    if (!machine) return null;
    attempts.push({ task, attempt, machine, zone: zone ?? "" });
  }
  return { done, attempts };
}
