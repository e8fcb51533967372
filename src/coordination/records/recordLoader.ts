/** Loads the records of earlier leaders from the state store, which is the first step of a term. */
import type { MachineType } from "../../protocol/model.js";
import { decodeMachineTypes } from "../../protocol/cloud.js";
import { KnownZones } from "../../bookkeeping/knownZones.js";
import { keys } from "../../bookkeeping/records.js";
import type { Item, ListOutcome, StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { Clock } from "../../transport/clock.js";
import { log } from "../../transport/log.js";
import type { Reconciliation } from "../machines/reconciliation.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { Attempts } from "../term/attempts.js";
import type { CycleRequests } from "../term/cycleRequests.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { WriteRequests } from "../term/writeQueue.js";
import type { JobRecords } from "./jobRecords.js";
import type { LoadedRecords } from "./recordMessages.js";
import type { RecordWatcher } from "./recordWatcher.js";
import type { SingletonRecords } from "./singletonRecords.js";

/** Timeout for reading all records. */
const LOAD_TIMEOUT_MS = 4000;
/** Pause before a failed load is retried. */
const LOAD_RETRY_MS = 200;

/** The parts of the term that the loader uses. */
export interface RecordLoaderContext {
  clock: Clock;
  lease: TermLease;
  stateStore: StateStoreClient;
  jobs: JobRegistry;
  machines: MachineRegistry;
  attempts: Attempts;
  estimates: Estimates;
  reconciliation: Reconciliation;
  writes: WriteRequests;
  cycles: CycleRequests;
  watcher: RecordWatcher;
  jobRecords: JobRecords;
  singletons: SingletonRecords;
  /** The cloud's zones according to the settings. */
  configuredZones: readonly string[];
  /** Called with the stored machine types if the cloud has not yet listed the types to this controller. */
  onStoredMachineTypes: (types: MachineType[]) => void;
  /** Posts a message to the leader's mailbox. */
  post: (message: LoadedRecords) => void;
}

/** Loads the records when a term begins. Until then, the leader makes no decisions and acknowledges nothing. */
export class RecordLoader {
  constructor(private readonly context: RecordLoaderContext) {}

  /** Starts to read the records, which arrive as a message for `applyLoaded`. */
  load(): void {
    const sentMs = this.context.clock.nowMs();
    void this.read(sentMs).then((records) => this.context.post(records));
  }

  private async read(sentMs: number): Promise<LoadedRecords> {
    const deadlineMs = sentMs + LOAD_TIMEOUT_MS;
    const [{ heads, chunks }, singletons] = await Promise.all([
      this.readJobs(deadlineMs),
      this.readSingletons(deadlineMs),
    ]);
    return { kind: "loaded", heads, chunks, singletons, sentMs };
  }

  /** Reads the heads before the chunks, so that a chunk without a head in the list belongs to no live job. */
  private async readJobs(deadlineMs: number): Promise<{ heads: ListOutcome; chunks: ListOutcome }> {
    const heads = await this.context.stateStore.list(keys.headPrefix, deadlineMs);
    const chunks = await this.context.stateStore.list(keys.chunkPrefix, deadlineMs);
    return { heads, chunks };
  }

  private async readSingletons(deadlineMs: number): Promise<Item[] | null> {
    const items: Item[] = [];
    for (const key of [keys.types, keys.moves]) {
      const outcome = await this.context.stateStore.get(key, deadlineMs);
      if (outcome.kind === "failed") return null;
      if (outcome.kind === "found") items.push(outcome.item);
    }
    return items;
  }

  /** Applies the records and starts the term's work; if any part could not be read, retries the whole load. */
  applyLoaded({ heads, chunks, singletons, sentMs }: LoadedRecords): void {
    const { clock, lease, jobs, machines, jobRecords, watcher } = this.context;
    if (heads.kind === "failed" || chunks.kind === "failed" || !singletons) {
      clock.after(LOAD_RETRY_MS, () => {
        if (!lease.isOver) this.load();
      });
      return;
    }
    for (const item of singletons) this.applySingleton(item);
    for (const item of heads.items) jobRecords.applyHead(item);
    const zones = this.knownZones();
    for (const item of chunks.items) jobRecords.loadChunk(item, zones);
    lease.markLoaded();
    log.info(`term ${lease.term}: ${jobs.size} live jobs, ${machines.size} machines known`);
    this.reconcileLoadedState();
    // Writes requested during the load, above all that of the machine types, have been held back until now.
    this.context.writes.requestWrite(0);
    watcher.begin(heads.revision, sentMs);
    this.context.cycles.requestCycle();
  }

  /** The zones that the settings or the cloud's list of machine types name. */
  private knownZones(): KnownZones {
    const { configuredZones, estimates } = this.context;
    const offeredZones = estimates.types.flatMap((type) => type.zones);
    return new KnownZones([...configuredZones, ...estimates.controllerZones, ...offeredZones]);
  }

  private applySingleton(item: Item): void {
    const { singletons, estimates } = this.context;
    if (item.key === keys.moves) {
      singletons.movesVersion = item.version;
      return;
    }
    singletons.typesVersion = item.version;
    const types = decodeMachineTypes(item.value);
    if (types && !estimates.areTypesKnown) this.context.onStoredMachineTypes(types);
  }

  /** Makes the decisions that needed the records: reconciles machines with heartbeats, and stops incomplete gangs. */
  private reconcileLoadedState(): void {
    const { jobs, machines, attempts, reconciliation } = this.context;
    for (const machine of machines.values()) if (machine.state === "up") reconciliation.reconcile(machine);
    // The previous leader may have ended after a gang lost a member but before the other members were stopped. These
    // would otherwise wait for the lost member forever.
    for (const job of jobs.values())
      if (job.spec.kind === "gang" && job.attempts.size > 0 && job.pendingCount > 0)
        attempts.restartGang(job);
  }
}
