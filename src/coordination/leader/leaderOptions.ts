/** The dependencies and settings of a leader. */
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { CommandDelivery, MachineType } from "../../protocol/model.js";
import type { Grant, TaskCounts } from "../../protocol/peers/messages.js";
import type { OperatorSettings } from "../../settings/operator.js";
import type { PlatformSettings } from "../../settings/platform.js";
import type { Clock } from "../../transport/clock.js";
import type { HeartbeatServerLimits } from "../heartbeats/acknowledgementRights.js";
import type { CloudClient } from "../provisioning/cloudClient.js";

/** The dependencies that the controller passes to its leader. */
export interface LeaderOptions {
  platform: PlatformSettings;
  operator: OperatorSettings;
  stateStore: StateStoreClient;
  clock: Clock;
  cloud: CloudClient;
  /** Sends commands to a machine through the controller `via` that serves it, or directly if `via` is null. */
  deliver: (term: number, via: string | null, delivery: CommandDelivery) => void;
  sendGrant: (peer: string, grant: Grant) => void;
  /** Receives the controllers that serve workers, because this controller's heartbeat server balances workers as well. */
  onServers: (servers: Grant["servers"]) => void;
  /** Receives the limits on what this controller's heartbeat server may acknowledge. */
  onLimits: (limits: HeartbeatServerLimits) => void;
  /** Returns the number of workers that send their heartbeats to this controller. */
  workerCount: () => number;
  /** Returns the current timer lag of this process. */
  lagMs: () => number;
  /** Called when a term later than the given one has begun. */
  onDeposed: (term: number) => void;
  /** Called when this controller is overloaded as leader of the given term and another controller is not. */
  onLagging: (term: number) => void;
  /** Called with the machine types when they are new or changed. */
  onMachineTypes: (types: MachineType[]) => void;
  /** Receives the changed task counts of jobs, which are for display only. */
  onTaskCounts: (term: number, counts: TaskCounts[]) => void;
}
