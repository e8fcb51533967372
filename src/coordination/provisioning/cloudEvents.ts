/** What the cloud's client reports to the leader. */
import type { ListedMachine, MachineType } from "../../protocol/model.js";
import type { ScaleOutOrder } from "./machineOrders.js";

/** Machine types, from the cloud itself or from the state store, where an earlier leader wrote them. */
export interface MachineTypesEvent {
  kind: "types";
  types: MachineType[];
  isStored?: boolean;
}

/** What the cloud said of machines. */
export type MachineEvent =
  /** All machines that the cloud lists, some seconds out of date. */
  | { kind: "listed"; machines: ListedMachine[] }
  /** The order was carried out, with fewer machines than ordered if the cloud has no more. */
  | { kind: "created"; order: ScaleOutOrder; names: string[] }
  /** Nothing was created for the order, and nothing will be. */
  | { kind: "no capacity"; order: ScaleOutOrder }
  /** These machines and all that ran on them are gone. */
  | { kind: "deleted"; names: string[] };

/** Anything that the cloud said. */
export type CloudEvent = MachineTypesEvent | MachineEvent;
