/** Events that the cloud's client reports to the leader. */
import type { ListedMachine, MachineType } from "../../protocol/model.js";
import type { ScaleOutOrder } from "./machineOrders.js";

/** Machine types, from the cloud or, with `isStored`, from the state store, where an earlier leader wrote them. */
export interface MachineTypesEvent {
  kind: "types";
  types: MachineType[];
  isStored?: boolean;
}

/** What the cloud reported about machines. */
export type MachineEvent =
  /** All machines in the cloud's list, which may be some seconds out of date. */
  | { kind: "listed"; machines: ListedMachine[] }
  /** The order was executed, with fewer machines than ordered if the cloud lacked capacity. */
  | { kind: "created"; order: ScaleOutOrder; names: string[] }
  /** No machine was or will be created for the order. */
  | { kind: "no capacity"; order: ScaleOutOrder }
  /** The cloud confirmed the deletion: these machines and all tasks on them are gone. */
  | { kind: "deleted"; names: string[] };

/** Any event from the cloud. */
export type CloudEvent = MachineTypesEvent | MachineEvent;
