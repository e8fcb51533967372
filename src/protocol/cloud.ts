import type { ListedMachine, MachineType } from "./model.js";
import { asNonNegativeNumber, asArray, asObject, asNonEmptyString, type JsonObject } from "./json.js";

export const cloudPaths = {
  machineTypes: "/flavors",
  createMachines: "/machines",
  deleteMachines: "/machines/delete",
  listMachines: (after: string, limit: number): string =>
    `/machines?after=${encodeURIComponent(after)}&limit=${limit}`,
};

export function decodeMachineTypes(value: unknown): MachineType[] | null {
  const list = asArray(asObject(value)?.breeds);
  if (!list) return null;
  const types: MachineType[] = [];
  for (const entry of list) {
    const o = asObject(entry);
    const name = asNonEmptyString(o?.name);
    const cpus = asNonNegativeNumber(o?.cores);
    const memoryGb = asNonNegativeNumber(o?.memoryGb);
    const zones = asArray(o?.patches);
    if (!o || name === null || cpus === null || memoryGb === null || !zones) continue;
    const price = asNonNegativeNumber(o.price) ?? 0;
    types.push({
      name,
      cpus,
      gpus: asNonNegativeNumber(o.gpus) ?? 0,
      memoryGb,
      cacheGb: asNonNegativeNumber(o.cacheGb) ?? 0,
      fetchGbPerS: asNonNegativeNumber(o.fetchGbPerS) || 0.1,
      price,
      spotPrice: asNonNegativeNumber(o.lowPrice) ?? price,
      bootS: asNonNegativeNumber(o.bootS) ?? 60,
      zones: zones.filter((z): z is string => asNonEmptyString(z) !== null),
    });
  }
  return types;
}

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

export function encodeCreateMachines(
  request: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): JsonObject {
  return { plea: request, breed: type, patch: zone, windfall: spot, howMany: count };
}

/** The names rented, or null when the answer can't be read. */
export function decodeCreatedMachines(value: unknown): string[] | null {
  const list = asArray(asObject(value)?.tufts);
  return list ? list.filter((n): n is string => asNonEmptyString(n) !== null) : null;
}

export function isNoCapacity(value: unknown): boolean {
  return asObject(value)?.error === "no capacity";
}

export function encodeDeleteMachines(names: string[]): JsonObject {
  return { tufts: names };
}

export function decodeMachineList(value: unknown): { machines: ListedMachine[]; more: boolean } | null {
  const o = asObject(value);
  const list = asArray(o?.tufts);
  if (!o || !list) return null;
  const machines: ListedMachine[] = [];
  for (const entry of list) {
    const m = asObject(entry);
    const name = asNonEmptyString(m?.ref);
    const phase = asNonEmptyString(m?.phase);
    if (!m || name === null || (phase !== "starting" && phase !== "running" && phase !== "failed")) continue;
    machines.push({
      name,
      address: asNonEmptyString(m.address) ?? "",
      type: asNonEmptyString(m.breed) ?? "",
      zone: asNonEmptyString(m.patch) ?? "",
      spot: m.windfall === true,
      phase,
      ageS: asNonNegativeNumber(m.ageS) ?? 0,
    });
  }
  return { machines, more: o.more === true };
}
