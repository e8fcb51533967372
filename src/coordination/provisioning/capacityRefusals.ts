/** What the cloud had none of lately, and when to ask for it again. */
import type { JobSpec, MachineType } from "../../protocol/model.js";
import { allowsPlacement, fittingTasks } from "../scheduling/fitting.js";
import { machineKindKey, purchaseKinds, type MachineKind } from "./machineOrders.js";

/** A kind of machine that the cloud refused is ordered again after this, then after twice as long, and so on. */
const FIRST_BACKOFF_MS = 8000;
const MAX_BACKOFF_MS = 40_000;

/** Owns what the cloud has refused for want of capacity, with a backoff for each kind of machine. */
export class CapacityRefusals {
  private readonly refusedUntilMs = new Map<string, number>();
  private readonly refusalsInARow = new Map<string, number>();

  /** The cloud had none, or not enough, of that kind. */
  recordRefusal({ type, zone, spot }: MachineKind, nowMs: number): void {
    const key = machineKindKey(type, zone, spot);
    const refusals = this.refusalsInARow.get(key) ?? 0;
    this.refusalsInARow.set(key, refusals + 1);
    this.refusedUntilMs.set(key, nowMs + Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** refusals));
  }

  /** One of that kind was created, or has just been deleted: ordering makes sense again. */
  clear(type: string, zone: string, spot: boolean): void {
    const key = machineKindKey(type, zone, spot);
    this.refusalsInARow.delete(key);
    this.refusedUntilMs.delete(key);
  }

  /** What is refused at that moment, as a predicate for a whole plan: it makes no key while nothing is. */
  at(nowMs: number): (type: string, zone: string, spot: boolean) => boolean {
    const refused = new Set<string>();
    for (const [key, untilMs] of this.refusedUntilMs) if (untilMs > nowMs) refused.add(key);
    return (type, zone, spot) => refused.size > 0 && refused.has(machineKindKey(type, zone, spot));
  }

  /** Is every kind of machine refused that the job could use in the zone? True as well if it could use none there. */
  isEverythingRefused(spec: JobSpec, types: readonly MachineType[], zone: string, nowMs: number): boolean {
    for (const type of types) {
      if (!type.zones.includes(zone) || !allowsPlacement(spec, type.name, zone, false)) continue;
      if (fittingTasks(spec, type) <= 0) continue;
      for (const spot of purchaseKinds(spec))
        if ((this.refusedUntilMs.get(machineKindKey(type.name, zone, spot)) ?? 0) <= nowMs) return false;
    }
    return true;
  }
}
