/** What a leader is given by its controller. */
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { CommandDelivery, MachineType } from "../../protocol/model.js";
import type { Grant, TaskCounts } from "../../protocol/peers/messages.js";
import type { Operator } from "../../settings/operator.js";
import type { Platform } from "../../settings/platform.js";
import type { Clock } from "../../transport/clock.js";
import type { HeartbeatServerLimits } from "../heartbeats/acknowledgementRights.js";
import type { CloudClient } from "../provisioning/cloudClient.js";

/** What a leader uses of its controller. */
export interface LeaderOptions {
  platform: Platform;
  operator: Operator;
  stateStore: StateStoreClient;
  clock: Clock;
  cloud: CloudClient;
  /** Has commands sent to a machine, by the controller `via` that serves it, or by this one when that is null. */
  deliver: (term: number, via: string | null, delivery: CommandDelivery) => void;
  sendGrant: (peer: string, grant: Grant) => void;
  /** Which controllers serve workers: this controller's heartbeat server balances them, too. */
  onServers: (servers: Grant["servers"]) => void;
  /** What this controller's heartbeat server may acknowledge. */
  onLimits: (limits: HeartbeatServerLimits) => void;
  /** Number of workers that send their heartbeats to this controller. */
  workerCount: () => number;
  /** How late this process's timers fire. */
  lagMs: () => number;
  /** A later term than that one has begun. */
  onDeposed: (term: number) => void;
  /** This controller can't keep up with leading that term, and others can. */
  onLagging: (term: number) => void;
  /** New or changed machine types. */
  onMachineTypes: (types: MachineType[]) => void;
  /** Counts for display, of the jobs whose counts have changed. */
  onTaskCounts: (term: number, counts: TaskCounts[]) => void;
}
