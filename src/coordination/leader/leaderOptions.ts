import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { CommandDelivery, MachineType } from "../../protocol/model.js";
import type { Grant, TaskCounts } from "../../protocol/peers/messages.js";
import type { Operator } from "../../settings/operator.js";
import type { Platform } from "../../settings/platform.js";
import type { Clock } from "../../transport/clock.js";
import type { HeartbeatServerLimits } from "../heartbeats/heartbeatServer.js";
import type { CloudClient } from "../provisioning/cloudClient.js";

/** What a leader uses of its controller. */
export interface LeaderOptions {
  platform: Platform;
  operator: Operator;
  stateStore: StateStoreClient;
  clock: Clock;
  cloud: CloudClient;
  /** Has commands carried, by the controller that serves the machine or from here. */
  deliver: (term: number, via: string | null, delivery: CommandDelivery) => void;
  sendGrant: (peer: string, grant: Grant) => void;
  /** Who serves workers: the heartbeat server beside us spreads them, too. */
  onServers: (servers: Grant["servers"]) => void;
  /** What the heartbeat server beside us may acknowledge. */
  onLimits: (limits: HeartbeatServerLimits) => void;
  /** Workers that report to this controller. */
  workerCount: () => number;
  /** How late this process's timers fire. */
  lagMs: () => number;
  /** A later term than that one has begun. */
  onDeposed: (term: number) => void;
  /** This controller falls behind, and others do not. */
  onLagging: (term: number) => void;
  onTypes: (types: MachineType[]) => void;
  onTaskCounts: (term: number, counts: TaskCounts[]) => void;
}
