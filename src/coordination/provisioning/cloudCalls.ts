/**
 * The calls of the cloud's API: for each kind, its HTTP request and what a successful response means. Pure. A call is
 * what the client sends at once: the pages of one list are a call each.
 */
import {
  cloudPaths,
  decodeCreatedMachines,
  decodeMachineList,
  decodeMachineTypes,
  encodeCreateMachines,
  encodeDeleteMachines,
} from "../../protocol/cloud.js";
import type { ListedMachine } from "../../protocol/model.js";
import type { CloudEvent } from "./cloudEvents.js";
import type { ScaleOutOrder } from "./machineOrders.js";

/** Machines in one page of the list, the most that the cloud gives. */
const PAGE_SIZE = 500;

interface CallContents {
  create: { order: ScaleOutOrder };
  delete: { names: string[] };
  /** A page of the list: what comes after that name, and what earlier pages had. */
  list: { after: string; found: ListedMachine[] };
  types: object;
}

type CallKind = keyof CallContents;

/** A call to the cloud, by its kind. */
export type CloudCall<Kind extends CallKind = CallKind> = {
  [K in Kind]: { kind: K } & CallContents[K];
}[Kind];

/** An HTTP request; no body: undefined. */
export interface HttpRequest {
  method: "GET" | "POST";
  path: string;
  body: unknown;
}

/** What a successful response means. */
export type CallResult =
  | { kind: "event"; event: CloudEvent }
  /** The list goes on: this call fetches its next page. */
  | { kind: "next page"; call: CloudCall<"list"> }
  | { kind: "unreadable" };

interface CallDefinition<Kind extends CallKind> {
  request(call: CloudCall<Kind>): HttpRequest;
  /** `body`: that of a response with status 200. */
  result(call: CloudCall<Kind>, body: unknown): CallResult;
}

const UNREADABLE: CallResult = { kind: "unreadable" };

const CALLS: { [Kind in CallKind]: CallDefinition<Kind> } = {
  create: {
    request: ({ order }) => post(cloudPaths.createMachines, encodeCreateMachines(order)),
    // The order is closed even if the names can't be read: its machines appear in heartbeats and lists.
    result: ({ order }, body) => ({
      kind: "event",
      event: { kind: "created", order, names: decodeCreatedMachines(body) ?? [] },
    }),
  },
  delete: {
    request: ({ names }) => post(cloudPaths.deleteMachines, encodeDeleteMachines(names)),
    result: ({ names }) => ({ kind: "event", event: { kind: "deleted", names } }),
  },
  list: {
    request: ({ after }) => get(cloudPaths.listMachines(after, PAGE_SIZE)),
    result: ({ found: earlier }, body) => {
      const page = decodeMachineList(body);
      if (!page) return UNREADABLE;
      const found = [...earlier, ...page.machines];
      const last = page.machines.at(-1);
      if (page.more && last) return { kind: "next page", call: { kind: "list", after: last.name, found } };
      return { kind: "event", event: { kind: "listed", machines: found } };
    },
  },
  types: {
    request: () => get(cloudPaths.machineTypes),
    result: (_call, body) => {
      const types = decodeMachineTypes(body);
      return types ? { kind: "event", event: { kind: "types", types } } : UNREADABLE;
    },
  },
};

function get(path: string): HttpRequest {
  return { method: "GET", path, body: undefined };
}

function post(path: string, body: unknown): HttpRequest {
  return { method: "POST", path, body };
}

/** The HTTP request that makes the call. */
export function requestOf<Kind extends CallKind>(call: CloudCall<Kind>): HttpRequest {
  return CALLS[call.kind].request(call);
}

/** What a response with status 200 and that body means. */
export function resultOf<Kind extends CallKind>(call: CloudCall<Kind>, body: unknown): CallResult {
  return CALLS[call.kind].result(call, body);
}
