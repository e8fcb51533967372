/**
 * Keys and encodings of the records in the state store. Earlier and later versions read the same records, so the names
 * of stored fields must not change; only this module uses them.
 */
import type { JobSpec } from "../protocol/model.js";
import type { KnownZones } from "./knownZones.js";
import { decodeStoredMachine, encodeStoredMachine, type StoredMachine } from "./storedMachine.js";
import {
  asNonNegativeNumber,
  asNonNegativeInteger,
  asArray,
  asObject,
  asNonEmptyString,
} from "../protocol/json.js";

/**
 * Key layout. Live and finished jobs have separate prefixes, so that a new leader reads live jobs only:
 *
 *   lead/term         {n, node}                newest term that has begun
 *   lead/hold         {n, node, life, lease}   leader and its incarnation (`life`); attached to the leader's lease
 *   j/<job>           head of a live job       written by any controller (acceptance, cancellation)
 *   c/<job>/<chunk>   256 tasks of a live job  written by the leader only
 *   f/<job>           final record             never changed after it is written
 *   types             machine types as last listed by the cloud
 *   moves             last round of moves, written before any of them begins
 */
export const keys = {
  term: "lead/term",
  leader: "lead/hold",
  leadershipPrefix: "lead/",
  headPrefix: "j/",
  chunkPrefix: "c/",
  types: "types",
  moves: "moves",
  head: (id: string): string => `j/${id}`,
  final: (id: string): string => `f/${id}`,
  chunk: (id: string, index: number): string => `c/${id}/${index}`,
};

/** Extracts the job id from the key of a head. */
export function jobIdOfHeadKey(key: string): string {
  return key.slice(keys.headPrefix.length);
}

/** Extracts the job id from the key of a head, chunk or final record. */
export function jobIdOfKey(key: string): string {
  return key.split("/")[1] ?? "";
}

/** Parses the key of a chunk; `index` is not an integer if the key is not a chunk key. */
export function parseChunkKey(key: string): { id: string; index: number } {
  const [, id, index] = key.split("/");
  return { id: id ?? "", index: Number(index) };
}

/** Number of tasks in one chunk; a chunk stays below the smallest value size limit even if all its tasks run. */
export const TASKS_PER_CHUNK = 256;
/** Size of a bitmap with one bit for each task of a chunk. */
export const BITMAP_BYTES = TASKS_PER_CHUNK / 8;

/** A job as submitted, and its cancellation if it was requested. Any controller writes this record. */
export interface JobHead {
  spec: JobSpec;
  /** Wall-clock time of the acceptance. */
  acceptedAt: Date;
  /** Wall-clock time just before the commit of the cancellation, so before any user saw it; null if not cancelled. */
  cancelledAt: Date | null;
}

/** Encodes the spec's fields, `at` (acceptance), `x` (is cancelled), `xAt` (cancellation); times in ms since 1970. */
export function encodeHead(head: JobHead): unknown {
  const { spec, acceptedAt, cancelledAt } = head;
  return { ...spec, at: acceptedAt.getTime(), x: cancelledAt !== null, xAt: cancelledAt?.getTime() };
}

/** Decodes a job's head; null if the value is not one. */
export function decodeHead(value: unknown): JobHead | null {
  const stored = asObject(value);
  const acceptedMs = asNonNegativeNumber(stored?.at);
  if (!stored || acceptedMs === null) return null;
  if (asNonEmptyString(stored.id) === null || asNonNegativeInteger(stored.tasks) === null) return null;
  const { at: _, x: isCancelled, xAt: cancelledMs, ...spec } = stored;
  // Versions before 0.4.0 did not store the cancellation time; the acceptance time is its lower bound.
  const cancelledAt = isCancelled === true ? new Date(asNonNegativeNumber(cancelledMs) ?? acceptedMs) : null;
  return { spec: spec as unknown as JobSpec, acceptedAt: new Date(acceptedMs), cancelledAt };
}

/** The record of a finished job. */
export interface FinalRecord {
  isCancelled: boolean;
  tasks: number;
}

/** Encodes the fields `x` (is cancelled) and `n` (number of tasks). */
export function encodeFinal(final: FinalRecord): unknown {
  return { x: final.isCancelled, n: final.tasks };
}

/** Decodes a final record; null if the value is not one. */
export function decodeFinal(value: unknown): FinalRecord | null {
  const stored = asObject(value);
  const tasks = asNonNegativeInteger(stored?.n);
  return stored && tasks !== null ? { isCancelled: stored.x === true, tasks } : null;
}

/** An attempt that holds or may hold resources: it is planned, or started and not confirmed gone. */
export interface AttemptRecord extends StoredMachine {
  task: number;
  /** Attempt number, unique across all terms. */
  attempt: number;
}

/** The record of `TASKS_PER_CHUNK` consecutive tasks of a job. */
export interface ChunkRecord {
  /** Bitmap in which the bit of each finished task of the chunk is set. */
  done: Uint8Array;
  attempts: AttemptRecord[];
}

/**
 * Encodes the fields `d` (bitmap in base64), `m` (machines with their zones) and `a` (attempts as [task, attempt, index
 * into `m`]). Each machine is named once, so that a full chunk fits the smallest value size limit of the state store.
 */
export function encodeChunk(record: ChunkRecord): unknown {
  const machines: unknown[] = [];
  const indexByName = new Map<string, number>();
  const attempts = record.attempts.map(({ task, attempt, machine, zone }) => {
    let index = indexByName.get(machine);
    if (index === undefined) {
      index = machines.length;
      indexByName.set(machine, index);
      machines.push(encodeStoredMachine({ machine, zone }));
    }
    return [task, attempt, index];
  });
  return { d: Buffer.from(record.done).toString("base64"), m: machines, a: attempts };
}

/**
 * Decodes a chunk; null if the value is not one or an attempt refers to a machine that is not listed. A zone that is not
 * among the known `zones` is decoded as `UNKNOWN_ZONE`.
 */
export function decodeChunk(value: unknown, zones: KnownZones): ChunkRecord | null {
  const stored = asObject(value);
  const machines = asArray(stored?.m)?.map((machine) => decodeStoredMachine(machine, zones));
  const list = asArray(stored?.a);
  if (!stored || !machines || !list || typeof stored.d !== "string") return null;
  const done = new Uint8Array(BITMAP_BYTES);
  done.set(Buffer.from(stored.d, "base64").subarray(0, done.length));
  const attempts: AttemptRecord[] = [];
  for (const entry of list) {
    const [task, attempt, index] = entry as [number, number, number];
    const machine = machines[index];
    if (!machine) return null;
    attempts.push({ task, attempt, ...machine });
  }
  return { done, attempts };
}
