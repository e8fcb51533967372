/**
 * The calls of the cloud's API: for each kind, the HTTP request and the interpretation of a successful response. A call
 * is one HTTP request, so each page of a list is a call of its own. The functions are pure.
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

/** The most machines that the cloud returns in one page of the list. */
const PAGE_SIZE = 500;

interface CallParameters {
  create: { order: ScaleOutOrder };
  delete: { names: string[] };
  /** A page of the list: the machines whose names follow `after`; `machines` holds those of the earlier pages. */
  list: { after: string; machines: ListedMachine[] };
  types: object;
}

type CallKind = keyof CallParameters;

/** A call to the cloud, by its kind. */
export type CloudCall<Kind extends CallKind = CallKind> = {
  [K in Kind]: { kind: K } & CallParameters[K];
}[Kind];

/** An HTTP request. */
export interface HttpRequest {
  method: "GET" | "POST";
  path: string;
  /** Undefined if the request has no body. */
  body: unknown;
}

/** The interpretation of a successful response. */
export type CallResult =
  | { kind: "event"; event: CloudEvent }
  /** The list has more pages; the call fetches the next one. */
  | { kind: "next page"; call: CloudCall<"list"> }
  | { kind: "unreadable" };

interface CallDefinition<Kind extends CallKind> {
  buildRequest(call: CloudCall<Kind>): HttpRequest;
  /** Interprets the body of a response with status 200. */
  interpretResponse(call: CloudCall<Kind>, body: unknown): CallResult;
}

const UNREADABLE: CallResult = { kind: "unreadable" };

const CALLS: { [Kind in CallKind]: CallDefinition<Kind> } = {
  create: {
    buildRequest: ({ order }) => post(cloudPaths.createMachines, encodeCreateMachines(order)),
    // The order is closed even if the names can't be decoded: its machines appear in heartbeats and lists.
    interpretResponse: ({ order }, body) => ({
      kind: "event",
      event: { kind: "created", order, names: decodeCreatedMachines(body) ?? [] },
    }),
  },
  delete: {
    buildRequest: ({ names }) => post(cloudPaths.deleteMachines, encodeDeleteMachines(names)),
    interpretResponse: ({ names }) => ({ kind: "event", event: { kind: "deleted", names } }),
  },
  list: {
    buildRequest: ({ after }) => get(cloudPaths.listMachines(after, PAGE_SIZE)),
    interpretResponse: ({ machines: earlierMachines }, body) => {
      const page = decodeMachineList(body);
      if (!page) return UNREADABLE;
      const machines = [...earlierMachines, ...page.machines];
      const last = page.machines.at(-1);
      if (page.more && last) return { kind: "next page", call: { kind: "list", after: last.name, machines } };
      return { kind: "event", event: { kind: "listed", machines } };
    },
  },
  types: {
    buildRequest: () => get(cloudPaths.machineTypes),
    interpretResponse: (_call, body) => {
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

/** Builds the HTTP request for the call. */
export function buildRequest<Kind extends CallKind>(call: CloudCall<Kind>): HttpRequest {
  return CALLS[call.kind].buildRequest(call);
}

/** Interprets the body of the response with status 200 to the call. */
export function interpretResponse<Kind extends CallKind>(call: CloudCall<Kind>, body: unknown): CallResult {
  return CALLS[call.kind].interpretResponse(call, body);
}
