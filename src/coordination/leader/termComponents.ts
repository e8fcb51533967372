/** The components of one leader's term, grouped by purpose and built by `buildTermComponents`. */
import type { QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { OperatorSettings } from "../../settings/operator.js";
import type { Clock } from "../../transport/clock.js";
import type { CommandDeliveries } from "../commands/commandDeliveries.js";
import type { ConsolidationRounds } from "../consolidation/consolidationRounds.js";
import type { GrantIssuer } from "../heartbeats/grantIssuer.js";
import type { HeartbeatServerRegistry } from "../heartbeats/heartbeatServerRegistry.js";
import type { DeliveryResultHandler } from "../machines/deliveryResultHandler.js";
import type { HeartbeatProcessor } from "../machines/heartbeatProcessor.js";
import type { MachineSupervisor } from "../machines/machineSupervisor.js";
import type { Reconciliation } from "../machines/reconciliation.js";
import type { Provisioner } from "../provisioning/provisioner.js";
import type { JobRecords } from "../records/jobRecords.js";
import type { RecordLoader } from "../records/recordLoader.js";
import type { RecordWatcher } from "../records/recordWatcher.js";
import type { RecordWriter } from "../records/recordWriter.js";
import type { SingletonRecords } from "../records/singletonRecords.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { Reservations } from "../scheduling/reservations.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import type { Attempts } from "../term/attempts.js";
import type { CycleRequests } from "../term/cycleRequests.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { WriteQueue } from "../term/writeQueue.js";
import type { TermMessage } from "./termMessage.js";

/** State, callbacks and settings that the components share. Each piece of state has one owner. */
export interface SharedComponents {
  clock: Clock;
  estimates: Estimates;
  stateStore: StateStoreClient;
  /** Posts a message to the leader's mailbox; the leader drops it if the term has ended by then. */
  post: (message: TermMessage) => void;
  /** Called when a term later than the given one has begun. */
  onDeposed: (term: number) => void;
  operator: OperatorSettings;
  /** Interval between two heartbeats of a worker, in seconds. */
  heartbeatS: number;
  /** Duration of a worker's lease, in seconds. */
  leaseS: number;
  /** Time without a heartbeat after which a machine is suspected to have failed, in seconds. */
  suspectS: number;
  lease: TermLease;
  jobs: JobRegistry;
  machines: MachineRegistry;
  usage: QuotaUsage;
  reservations: Reservations;
  cycles: CycleRequests;
  writes: WriteQueue;
  servers: HeartbeatServerRegistry;
}

/** Components that act on attempts: commands, consolidation and provisioning. */
export interface ActionComponents {
  commands: CommandDeliveries;
  attempts: Attempts;
  rounds: ConsolidationRounds;
  provisioner: Provisioner;
}

/** Components that track machines by heartbeats, delivery results and timeouts. */
export interface MachineComponents {
  reconciliation: Reconciliation;
  heartbeats: HeartbeatProcessor;
  deliveryResults: DeliveryResultHandler;
  supervisor: MachineSupervisor;
}

/** Components that read, watch and write the term's records. */
export interface RecordComponents {
  singletons: SingletonRecords;
  jobRecords: JobRecords;
  watcher: RecordWatcher;
  loader: RecordLoader;
  writer: RecordWriter;
}

/** All components of a term. */
export interface TermComponents
  extends SharedComponents, ActionComponents, MachineComponents, RecordComponents {
  grants: GrantIssuer;
  scheduler: Scheduler;
}
