/** The parts of one leader's term, by what they are for. `buildTermParts` makes them. */
import type { QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { Operator } from "../../settings/operator.js";
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

/** The state that the parts share, each piece with one owner, and what they ask of the leader. */
export interface SharedParts {
  clock: Clock;
  estimates: Estimates;
  stateStore: StateStoreClient;
  /** Handled in the leader's own turn, as long as the term lasts. */
  tell: (message: TermMessage) => void;
  /** A later term than that one has begun. */
  onDeposed: (term: number) => void;
  operator: Operator;
  /** Seconds between two heartbeats of a worker. */
  heartbeatS: number;
  /** A worker's lease, in seconds. */
  leaseS: number;
  /** A machine is suspected after so many seconds without a heartbeat. */
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

/** What acts on attempts: commands, consolidation and provisioning. */
export interface ActionParts {
  commands: CommandDeliveries;
  attempts: Attempts;
  rounds: ConsolidationRounds;
  provisioner: Provisioner;
}

/** What follows the machines: heartbeats, deliveries' results, supervision by the clock. */
export interface MachineParts {
  reconciliation: Reconciliation;
  heartbeats: HeartbeatProcessor;
  deliveryResults: DeliveryResultHandler;
  supervisor: MachineSupervisor;
}

/** What reads, watches and writes the term's records. */
export interface RecordParts {
  singletons: SingletonRecords;
  jobRecords: JobRecords;
  watcher: RecordWatcher;
  loader: RecordLoader;
  writer: RecordWriter;
}

/** All parts of a term. */
export interface TermParts extends SharedParts, ActionParts, MachineParts, RecordParts {
  grants: GrantIssuer;
  scheduler: Scheduler;
}
