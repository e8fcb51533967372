/** Requests to the cloud and its responses. The cloud's own words end here. */
import type { ListedMachine, MachineType } from "./model.js";
import {
  asArray,
  asNonEmptyString,
  asNonNegativeNumber,
  asObject,
  asStrings,
  type JsonObject,
} from "./json.js";

/** Assumed where the cloud doesn't say it, or says zero. */
const DEFAULT_FETCH_GB_PER_S = 0.1;
/** Assumed where the cloud doesn't say it. */
const DEFAULT_BOOT_S = 60;

/** Paths of the cloud's interface. */
export const cloudPaths = {
  machineTypes: "/flavors",
  createMachines: "/machines",
  deleteMachines: "/machines/delete",
  listMachines: (after: string, limit: number): string =>
    `/machines?after=${encodeURIComponent(after)}&limit=${limit}`,
};

/** Null when the response can't be read; a type without name, size or zones is left out. */
export function decodeMachineTypes(value: unknown): MachineType[] | null {
  const entries = asArray(asObject(value)?.breeds);
  if (!entries) return null;
  const types: MachineType[] = [];
  for (const entry of entries) {
    const type = decodeMachineType(entry);
    if (type) types.push(type);
  }
  return types;
}

function decodeMachineType(value: unknown): MachineType | null {
  const entry = asObject(value);
  const name = asNonEmptyString(entry?.name);
  const cpus = asNonNegativeNumber(entry?.cores);
  const memoryGb = asNonNegativeNumber(entry?.memoryGb);
  const zones = asStrings(entry?.patches);
  if (!entry || name === null || cpus === null || memoryGb === null || !zones) return null;
  const numberOr = (field: string, fallback: number): number => asNonNegativeNumber(entry[field]) ?? fallback;
  const price = numberOr("price", 0);
  return {
    name,
    cpus,
    gpus: numberOr("gpus", 0),
    memoryGb,
    cacheGb: numberOr("cacheGb", 0),
    fetchGbPerS: numberOr("fetchGbPerS", 0) || DEFAULT_FETCH_GB_PER_S,
    price,
    spotPrice: numberOr("lowPrice", price),
    bootS: numberOr("bootS", DEFAULT_BOOT_S),
    zones,
  };
}

/** In the form of the cloud's own response: the leader stores it for controllers that start without the cloud. */
export function encodeMachineTypes(types: MachineType[]): JsonObject {
  return {
    breeds: types.map((type) => ({
      name: type.name,
      cores: type.cpus,
      gpus: type.gpus,
      memoryGb: type.memoryGb,
      cacheGb: type.cacheGb,
      fetchGbPerS: type.fetchGbPerS,
      price: type.price,
      lowPrice: type.spotPrice,
      bootS: type.bootS,
      patches: type.zones,
    })),
  };
}

/** An order for machines of one kind. */
export interface CreateMachinesRequest {
  /** Idempotency key: the cloud creates the machines of one request once, however often it is sent. */
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The body that orders machines. */
export function encodeCreateMachines({
  request,
  type,
  zone,
  spot,
  count,
}: CreateMachinesRequest): JsonObject {
  return { plea: request, breed: type, patch: zone, windfall: spot, howMany: count };
}

/** The names of the machines created; null when the response can't be read. */
export function decodeCreatedMachines(value: unknown): string[] | null {
  return asStrings(asObject(value)?.tufts);
}

/** The body of a 503 that says that the cloud has no such machines left, rather than that it is overloaded. */
export function isNoCapacity(value: unknown): boolean {
  return asObject(value)?.error === "no capacity";
}

/** The body that deletes the machines of these names. */
export function encodeDeleteMachines(names: string[]): JsonObject {
  return { tufts: names };
}

/** One page of the cloud's machines; null when the response can't be read. Entries that can't be read are left out. */
export function decodeMachineList(value: unknown): { machines: ListedMachine[]; more: boolean } | null {
  const page = asObject(value);
  const entries = asArray(page?.tufts);
  if (!page || !entries) return null;
  const machines: ListedMachine[] = [];
  for (const entry of entries) {
    const machine = decodeListedMachine(entry);
    if (machine) machines.push(machine);
  }
  return { machines, more: page.more === true };
}

function decodeListedMachine(value: unknown): ListedMachine | null {
  const entry = asObject(value);
  const name = asNonEmptyString(entry?.ref);
  const phase = entry?.phase;
  if (!entry || name === null) return null;
  if (phase !== "starting" && phase !== "running" && phase !== "failed") return null;
  return {
    name,
    address: asNonEmptyString(entry.address) ?? "",
    type: asNonEmptyString(entry.breed) ?? "",
    zone: asNonEmptyString(entry.patch) ?? "",
    spot: entry.windfall === true,
    phase,
    ageS: asNonNegativeNumber(entry.ageS) ?? 0,
  };
}
