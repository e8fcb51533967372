import type { JobSpec } from "../protocol/model.js";
import {
  asNonNegativeNumber,
  asNonNegativeInteger,
  asArray,
  asObject,
  asNonEmptyString,
} from "../protocol/json.js";

/**
 * The key layout. Live and final jobs are kept apart, so that a new leader reads only what lives:
 *
 *   lead/term         {n, node}                the newest term ever begun
 *   lead/hold         {n, node, life, lease}   who leads; attached to the leader's lease
 *   j/<job>           head of a live job       written by any node (accepted, cancelled)
 *   c/<job>/<chunk>   256 tasks' attempts      written by the leader alone
 *   f/<job>           a job that is over       never changed again
 *   types             machine types as last heard from the cloud
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

/** Tasks in one chunk: their attempts stay below the smallest value limit even when all of them run. */
export const TASKS_PER_CHUNK = 256;

export interface JobHead {
  spec: JobSpec;
  /** Time of day of the acceptance. */
  acceptedAt: Date;
  /** Time of day just before its cancellation was committed, so before anybody was told; null: it is not cancelled. */
  cancelledAt: Date | null;
}

export function encodeHead(head: JobHead): unknown {
  const { spec, acceptedAt, cancelledAt } = head;
  return { ...spec, at: acceptedAt.getTime(), x: cancelledAt !== null, xAt: cancelledAt?.getTime() };
}

export function decodeHead(value: unknown): JobHead | null {
  const o = asObject(value);
  const at = asNonNegativeNumber(o?.at);
  if (!o || at === null || asNonEmptyString(o.id) === null || asNonNegativeInteger(o.tasks) === null)
    return null;
  const { at: _, x, xAt, ...spec } = o;
  // Versions before 0.4.0 kept no time: it was at the earliest when the job was accepted.
  const cancelledAt = x === true ? new Date(asNonNegativeNumber(xAt) ?? at) : null;
  return { spec: spec as unknown as JobSpec, acceptedAt: new Date(at), cancelledAt };
}

export interface FinalRecord {
  isCancelled: boolean;
  tasks: number;
}

export function encodeFinal(final: FinalRecord): unknown {
  return { x: final.isCancelled, n: final.tasks };
}

export function decodeFinal(value: unknown): FinalRecord | null {
  const o = asObject(value);
  const tasks = asNonNegativeInteger(o?.n);
  return o && tasks !== null ? { isCancelled: o.x === true, tasks } : null;
}

export interface ChunkRecord {
  /** One bit for each task of the chunk that is done. */
  done: Uint8Array;
  attempts: { task: number; attempt: number; machine: string; zone: string }[];
}

/** Machines are named once; each attempt is three small numbers. */
export function encodeChunk(record: ChunkRecord): unknown {
  const machines: string[] = [];
  const index = new Map<string, number>();
  const attempts = record.attempts.map((a) => {
    let at = index.get(a.machine);
    if (at === undefined) {
      at = machines.length;
      index.set(a.machine, at);
      machines.push(`${a.machine} ${a.zone}`);
    }
    return [a.task, a.attempt, at];
  });
  return { d: Buffer.from(record.done).toString("base64"), m: machines, a: attempts };
}

export function decodeChunk(value: unknown): ChunkRecord | null {
  const o = asObject(value);
  const machines = asArray(o?.m);
  const list = asArray(o?.a);
  if (!o || !machines || !list || typeof o.d !== "string") return null;
  const done = new Uint8Array(TASKS_PER_CHUNK / 8);
  done.set(Buffer.from(o.d, "base64").subarray(0, done.length));
  const attempts = [];
  for (const entry of list) {
    const [task, attempt, at] = entry as [number, number, number];
    const [machine, zone] = String(machines[at] ?? "").split(" ");
    if (!machine) return null;
    attempts.push({ task, attempt, machine, zone: zone ?? "" });
  }
  return { done, attempts };
}
