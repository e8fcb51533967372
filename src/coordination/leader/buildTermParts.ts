/**
 * Builds the parts of one leader's term, from those that need nothing to those that need the others. Each part is given
 * what it uses and nothing else; no part knows the term that holds it.
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
import type { ActionParts, MachineParts, RecordParts, SharedParts, TermParts } from "./termParts.js";

/** What connects a term's parts to their leader's mailbox. */
export interface TermMailbox {
  /** Handled in the leader's own turn, as long as the term lasts. */
  tell: (message: TermMessage) => void;
  /** Machine types as an earlier leader stored them. */
  onStoredMachineTypes: (types: MachineType[]) => void;
}

function buildShared(
  lease: LeadershipLease,
  options: LeaderOptions,
  estimates: Estimates,
  mailbox: TermMailbox,
): SharedParts {
  const { clock, platform } = options;
  const jobs = new JobRegistry();
  return {
    clock,
    estimates,
    stateStore: options.stateStore,
    tell: mailbox.tell,
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
    cycles: new CycleRequests(clock, () => mailbox.tell({ kind: "cycle" })),
    writes: new WriteQueue(clock, () => mailbox.tell({ kind: "write" })),
    servers: new HeartbeatServerRegistry(
      new Map(platform.peers.map((peer) => [peer.name, peer.zone])),
      longestZoneLeaseMs(platform.cancelS, platform.leaseS),
    ),
  };
}

function buildActions(shared: SharedParts, options: LeaderOptions): ActionParts {
  const commands = new CommandDeliveries({ ...shared, deliver: options.deliver });
  const firstNumber = firstAttemptNumber(shared.lease.term);
  const attempts = new Attempts({ ...shared, commands, firstNumber });
  const rounds = new ConsolidationRounds({ ...shared, attempts });
  const provisioner = new Provisioner({ ...shared, attempts, rounds, cloud: options.cloud });
  return { commands, attempts, rounds, provisioner };
}

function buildMachineParts(
  shared: SharedParts,
  { commands, attempts, provisioner }: ActionParts,
): MachineParts {
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
    isReserved: (machine) => shared.reservations.includes(machine),
  });
  return { reconciliation, heartbeats, deliveryResults, supervisor };
}

function buildRecordParts(
  shared: SharedParts,
  { commands, attempts, rounds }: ActionParts,
  reconciliation: Reconciliation,
  options: LeaderOptions,
  mailbox: TermMailbox,
): RecordParts {
  const singletons = new SingletonRecords();
  const jobRecords = new JobRecords({ ...shared, attempts, onJobRemoved: (id) => rounds.forgetJob(id) });
  const watcher = new RecordWatcher({ ...shared, jobRecords });
  const loader = new RecordLoader({
    ...shared,
    attempts,
    reconciliation,
    watcher,
    jobRecords,
    singletons,
    onStoredMachineTypes: mailbox.onStoredMachineTypes,
  });
  const writer = new RecordWriter({
    ...shared,
    commands,
    rounds,
    queue: shared.writes,
    jobRecords,
    singletons,
    transactionChanges: options.platform.stateStoreTransactionChanges,
  });
  return { singletons, jobRecords, watcher, loader, writer };
}

/** Builds all parts of a term; none of them has begun to do anything. */
export function buildTermParts(
  lease: LeadershipLease,
  options: LeaderOptions,
  estimates: Estimates,
  mailbox: TermMailbox,
): TermParts {
  const shared = buildShared(lease, options, estimates, mailbox);
  const actions = buildActions(shared, options);
  const machineParts = buildMachineParts(shared, actions);
  const records = buildRecordParts(shared, actions, machineParts.reconciliation, options, mailbox);
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
  return { ...shared, ...actions, ...machineParts, ...records, grants, scheduler };
}
