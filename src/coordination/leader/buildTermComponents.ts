/**
 * Builds the components of one leader's term in the order of their dependencies. Each component is passed only what it
 * uses, and none of them depends on the term that holds it.
 */
import { QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { MachineType } from "../../protocol/model.js";
import { CommandDeliveries } from "../commands/commandDeliveries.js";
import { ConsolidationRounds } from "../consolidation/consolidationRounds.js";
import { AcknowledgementLimits } from "../heartbeats/acknowledgementLimits.js";
import { GrantIssuer } from "../heartbeats/grantIssuer.js";
import { HeartbeatServerRegistry } from "../heartbeats/heartbeatServerRegistry.js";
import { Cordon } from "../machines/cordon.js";
import { DeliveryResultHandler } from "../machines/deliveryResultHandler.js";
import { HeartbeatProcessor } from "../machines/heartbeatProcessor.js";
import { MachineLeases } from "../machines/machineLeases.js";
import { MachineSupervisor } from "../machines/machineSupervisor.js";
import { Reconciliation } from "../machines/reconciliation.js";
import { Provisioner } from "../provisioning/provisioner.js";
import { JobRecords } from "../records/jobRecords.js";
import { RecordLoader } from "../records/recordLoader.js";
import { RecordWatcher } from "../records/recordWatcher.js";
import { RecordWriter } from "../records/recordWriter.js";
import { SingletonRecords } from "../records/singletonRecords.js";
import type { Estimates } from "../scheduling/estimates.js";
import { Reservations } from "../scheduling/reservations.js";
import { Scheduler } from "../scheduling/scheduler.js";
import { Attempts } from "../term/attempts.js";
import { CycleRequests } from "../term/cycleRequests.js";
import { JobRegistry } from "../term/jobRegistry.js";
import { MachineRegistry } from "../term/machineRegistry.js";
import { TermLease } from "../term/termLease.js";
import { WriteQueue } from "../term/writeQueue.js";
import type { LeaderOptions } from "./leaderOptions.js";
import type { LeadershipLease } from "../term/leadershipLease.js";
import { longestZoneLeaseMs } from "../term/acknowledgementLimit.js";
import { firstAttemptNumber, firstFencingToken } from "../term/fencingTokens.js";
import type { TermMessage } from "./termMessage.js";
import type {
  ActionComponents,
  MachineComponents,
  RecordComponents,
  SharedComponents,
  TermComponents,
} from "./termComponents.js";

/** The connection from a term's components to the leader's mailbox. */
export interface TermMailbox {
  /** Posts a message to the leader's mailbox; the leader drops it if the term has ended by then. */
  post: (message: TermMessage) => void;
  /** Called with the machine types that an earlier leader has stored. */
  onStoredMachineTypes: (types: MachineType[]) => void;
}

function buildSharedComponents(
  lease: LeadershipLease,
  options: LeaderOptions,
  estimates: Estimates,
  mailbox: TermMailbox,
): SharedComponents {
  const { clock, platform } = options;
  const jobs = new JobRegistry();
  return {
    clock,
    estimates,
    stateStore: options.stateStore,
    post: mailbox.post,
    onDeposed: options.onDeposed,
    operator: options.operator,
    heartbeatS: platform.heartbeatS,
    leaseS: platform.leaseS,
    suspectS: options.operator.suspectS,
    lease: new TermLease(lease, clock),
    jobs,
    machines: new MachineRegistry(firstFencingToken(lease.term), clock),
    usage: new QuotaUsage(platform.teams),
    reservations: new Reservations(jobs),
    cycles: new CycleRequests(clock, () => mailbox.post({ kind: "cycle" })),
    writes: new WriteQueue(clock, () => mailbox.post({ kind: "write" })),
    servers: new HeartbeatServerRegistry(
      new Map(platform.peers.map((peer) => [peer.name, peer.zone])),
      longestZoneLeaseMs(platform.cancelS, platform.leaseS),
    ),
  };
}

function buildActionComponents(shared: SharedComponents, options: LeaderOptions): ActionComponents {
  const commands = new CommandDeliveries({ ...shared, deliver: options.deliver });
  const firstNumber = firstAttemptNumber(shared.lease.term);
  const attempts = new Attempts({ ...shared, commands, firstNumber });
  const rounds = new ConsolidationRounds({ ...shared, attempts });
  const provisioner = new Provisioner({ ...shared, attempts, rounds, cloud: options.cloud });
  return { commands, attempts, rounds, provisioner };
}

function buildMachineComponents(
  shared: SharedComponents,
  { commands, attempts, provisioner }: ActionComponents,
): MachineComponents {
  const cordon = new Cordon({ ...shared, attempts });
  const reconciliation = new Reconciliation({ ...shared, attempts, commands, cordon });
  const heartbeats = new HeartbeatProcessor({ ...shared, commands, cordon, reconciliation });
  const deliveryResults = new DeliveryResultHandler({
    ...shared,
    attempts,
    deliveries: commands,
    heartbeats,
  });
  const supervisor = new MachineSupervisor({
    ...shared,
    attempts,
    deliveries: commands,
    deliveryResults,
    leases: new MachineLeases(shared.lease, shared.servers, shared.leaseS),
    scaleIn: (machine, reason) => provisioner.scaleIn(machine, reason),
    isReserved: (machine) => shared.reservations.isReserved(machine),
  });
  return { reconciliation, heartbeats, deliveryResults, supervisor };
}

function buildRecordComponents(
  shared: SharedComponents,
  { commands, attempts, rounds }: ActionComponents,
  reconciliation: Reconciliation,
  options: LeaderOptions,
  mailbox: TermMailbox,
): RecordComponents {
  const singletons = new SingletonRecords();
  const jobRecords = new JobRecords({
    ...shared,
    attempts,
    onJobRemoved: (id) => rounds.clearPreferredMachine(id),
  });
  const watcher = new RecordWatcher({ ...shared, jobRecords });
  const loader = new RecordLoader({
    ...shared,
    attempts,
    reconciliation,
    watcher,
    jobRecords,
    singletons,
    configuredZones: options.platform.zones,
    onStoredMachineTypes: mailbox.onStoredMachineTypes,
  });
  const writer = new RecordWriter({
    ...shared,
    commands,
    rounds,
    queue: shared.writes,
    jobRecords,
    singletons,
    maxTransactionChanges: options.platform.stateStoreMaxTransactionChanges,
  });
  return { singletons, jobRecords, watcher, loader, writer };
}

/** Builds all components of a term without starting any of them. */
export function buildTermComponents(
  lease: LeadershipLease,
  options: LeaderOptions,
  estimates: Estimates,
  mailbox: TermMailbox,
): TermComponents {
  const shared = buildSharedComponents(lease, options, estimates, mailbox);
  const actions = buildActionComponents(shared, options);
  const machineComponents = buildMachineComponents(shared, actions);
  const records = buildRecordComponents(shared, actions, machineComponents.reconciliation, options, mailbox);
  const grants = new GrantIssuer({
    ...options,
    ...shared,
    attempts: actions.attempts,
    limits: new AcknowledgementLimits(options.platform),
    cancellationsReadUntilMs: () => records.watcher.cancellationsReadUntilMs,
  });
  const scheduler = new Scheduler({
    ...shared,
    ...actions,
    preferredMachines: actions.rounds.preferredMachines,
    objectives: options.platform.objectives,
    lagMs: options.lagMs,
  });
  return { ...shared, ...actions, ...machineComponents, ...records, grants, scheduler };
}
