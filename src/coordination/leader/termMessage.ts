/** The messages of one term. */
import type { DeliveryResult } from "../../protocol/model.js";
import type { HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import type { MachineEvent } from "../provisioning/cloudEvents.js";
import type { RecordMessage } from "../records/recordMessages.js";

/** A message for one term, which the leader drops once that term is over. */
export type TermMessage =
  | RecordMessage
  | { kind: "heartbeat server update"; update: HeartbeatServerUpdate }
  | { kind: "delivery finished"; result: DeliveryResult }
  | { kind: "cloud"; event: MachineEvent }
  /** A scheduling cycle is due. */
  | { kind: "cycle" }
  /** A write to the state store is due. */
  | { kind: "write" };
