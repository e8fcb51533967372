import type { ListedMachine, MachineType } from "./model.js";
import { asAmount, asList, asObject, asText, type Json } from "./checks.js";

export const cloudPaths = {
  machineTypes: "/flavors",
  createMachines: "/machines",
  deleteMachines: "/machines/delete",
  listMachines: (after: string, limit: number): string =>
    `/machines?after=${encodeURIComponent(after)}&limit=${limit}`,
};

export function decodeMachineTypes(value: unknown): MachineType[] | null {
  const list = asList(asObject(value)?.breeds);
  if (!list) return null;
  const types: MachineType[] = [];
  for (const entry of list) {
    const o = asObject(entry);
    const name = asText(o?.name);
    const cpus = asAmount(o?.cores);
    const memoryGb = asAmount(o?.memoryGb);
    const zones = asList(o?.patches);
    if (!o || name === null || cpus === null || memoryGb === null || !zones) continue;
    const price = asAmount(o.price) ?? 0;
    types.push({
      name,
      cpus,
      gpus: asAmount(o.gpus) ?? 0,
      memoryGb,
      cacheGb: asAmount(o.cacheGb) ?? 0,
      fetchGbPerS: asAmount(o.fetchGbPerS) || 0.1,
      price,
      spotPrice: asAmount(o.lowPrice) ?? price,
      bootS: asAmount(o.bootS) ?? 60,
      zones: zones.filter((z): z is string => asText(z) !== null),
    });
  }
  return types;
}

export function encodeMachineTypes(types: MachineType[]): Json {
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
): Json {
  return { plea: request, breed: type, patch: zone, windfall: spot, howMany: count };
}

/** The names rented, or null when the answer can't be read. */
export function decodeCreatedMachines(value: unknown): string[] | null {
  const list = asList(asObject(value)?.tufts);
  return list ? list.filter((n): n is string => asText(n) !== null) : null;
}

export function isNoCapacity(value: unknown): boolean {
  return asObject(value)?.error === "no capacity";
}

export function encodeDeleteMachines(names: string[]): Json {
  return { tufts: names };
}

export function decodeMachineList(value: unknown): { machines: ListedMachine[]; more: boolean } | null {
  const o = asObject(value);
  const list = asList(o?.tufts);
  if (!o || !list) return null;
  const machines: ListedMachine[] = [];
  for (const entry of list) {
    const m = asObject(entry);
    const name = asText(m?.ref);
    const phase = asText(m?.phase);
    if (!m || name === null || (phase !== "starting" && phase !== "running" && phase !== "failed")) continue;
    machines.push({
      name,
      address: asText(m.address) ?? "",
      type: asText(m.breed) ?? "",
      zone: asText(m.patch) ?? "",
      spot: m.windfall === true,
      phase,
      ageS: asAmount(m.ageS) ?? 0,
    });
  }
  return { machines, more: o.more === true };
}
