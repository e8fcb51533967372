/** Backoff for kinds of machines that the cloud has refused to create for lack of capacity. */
import type { JobSpec, MachineType } from "../../protocol/model.js";
import { allowsPlacement, fittingTasks } from "../scheduling/fitting.js";
import { machineKindKey, purchaseOptions, type MachineKind } from "./machineOrders.js";

/** Backoff after the first refusal of a kind of machine; it doubles with each further refusal, up to the maximum. */
const INITIAL_BACKOFF_MS = 8000;
const MAX_BACKOFF_MS = 40_000;

/** Owns the backoff of each kind of machine that the cloud has refused for lack of capacity. */
export class CapacityRefusals {
  /** Steady time at which the backoff of a kind ends, by machine kind key. */
  private readonly refusedUntilMs = new Map<string, number>();
  private readonly consecutiveRefusals = new Map<string, number>();

  /** Records that the cloud created no machine, or fewer than ordered, of that kind. */
  recordRefusal({ type, zone, spot }: MachineKind, nowMs: number): void {
    const key = machineKindKey(type, zone, spot);
    const refusals = this.consecutiveRefusals.get(key) ?? 0;
    this.consecutiveRefusals.set(key, refusals + 1);
    this.refusedUntilMs.set(key, nowMs + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** refusals));
  }

  /** Ends the backoff of a kind: a machine of it was created, or was deleted and so freed capacity. */
  clear(type: string, zone: string, spot: boolean): void {
    const key = machineKindKey(type, zone, spot);
    this.consecutiveRefusals.delete(key);
    this.refusedUntilMs.delete(key);
  }

  /** Returns a predicate for the kinds refused at that time; it is cheap while none is, since it builds no key then. */
  refusalPredicate(nowMs: number): (type: string, zone: string, spot: boolean) => boolean {
    const refused = new Set<string>();
    for (const [key, untilMs] of this.refusedUntilMs) if (untilMs > nowMs) refused.add(key);
    return (type, zone, spot) => refused.size > 0 && refused.has(machineKindKey(type, zone, spot));
  }

  /** Whether every kind of machine that the job could use in the zone is refused; true if it could use none there. */
  isCapacityRefused(spec: JobSpec, types: readonly MachineType[], zone: string, nowMs: number): boolean {
    for (const type of types) {
      if (!type.zones.includes(zone) || !allowsPlacement(spec, type.name, zone, false)) continue;
      if (fittingTasks(spec, type) <= 0) continue;
      for (const spot of purchaseOptions(spec))
        if ((this.refusedUntilMs.get(machineKindKey(type.name, zone, spot)) ?? 0) <= nowMs) return false;
    }
    return true;
  }
}
