/** Codecs of the cloud API's requests and responses. Only this module knows the cloud's field names. */
import type { ListedMachine, MachineType } from "./model.js";
import {
  asArray,
  asNonEmptyString,
  asNonNegativeNumber,
  asObject,
  asStrings,
  type JsonObject,
} from "./json.js";

/** The fetch rate of a machine type for which the cloud reports no rate, or zero. */
const DEFAULT_FETCH_GB_PER_S = 0.1;
/** The boot time of a machine type for which the cloud reports no time. */
const DEFAULT_BOOT_S = 60;

/** The paths of the cloud API. */
export const cloudPaths = {
  machineTypes: "/flavors",
  createMachines: "/machines",
  deleteMachines: "/machines/delete",
  listMachines: (after: string, limit: number): string =>
    `/machines?after=${encodeURIComponent(after)}&limit=${limit}`,
};

/** Decodes a list of machine types; null if it is malformed. Types without name, CPUs, memory or zones are skipped. */
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

/**
 * Encodes machine types in the format of the cloud's response. The leader stores it for controllers that start while
 * the cloud is unavailable.
 */
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

/** A request to create machines of one type in one zone. */
export interface CreateMachinesRequest {
  /** Idempotency key: the cloud creates the machines of one request only once, even if the request is retried. */
  idempotencyKey: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Encodes the body of a request to create machines. */
export function encodeCreateMachines({
  idempotencyKey,
  type,
  zone,
  spot,
  count,
}: CreateMachinesRequest): JsonObject {
  return { plea: idempotencyKey, breed: type, patch: zone, windfall: spot, howMany: count };
}

/** Decodes the names of the created machines; null if the response is malformed. */
export function decodeCreatedMachines(value: unknown): string[] | null {
  return asStrings(asObject(value)?.tufts);
}

/** Returns whether the body of a 503 response means that the cloud has no such machines left, and not an overload. */
export function isNoCapacity(value: unknown): boolean {
  return asObject(value)?.error === "no capacity";
}

/** Encodes the body of a request to delete machines. */
export function encodeDeleteMachines(names: string[]): JsonObject {
  return { tufts: names };
}

/** Decodes one page of the list of machines; null if the page is malformed. Malformed entries are skipped. */
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
