/** Fetches the machine types that a leader has written to the state store, for controllers that do not lead. */
import { keys } from "../bookkeeping/records.js";
import type { StateStoreClient } from "../bookkeeping/stateStoreClient.js";
import { decodeMachineTypes } from "../protocol/cloud.js";
import type { MachineType } from "../protocol/model.js";
import type { Clock } from "../transport/clock.js";

const READ_TIMEOUT_MS = 2000;
const FIRST_RETRY_MS = 200;
/** The delay before each retry grows by this step, up to `MAX_RETRY_MS`. */
const RETRY_STEP_MS = 100;
const MAX_RETRY_MS = 1000;

/** Retries reading the stored machine types until it reads some, or until `stop` is called. */
export class MachineTypesFetcher {
  private isStopped = false;

  constructor(
    private readonly stateStore: StateStoreClient,
    private readonly clock: Clock,
    private readonly onMachineTypes: (types: MachineType[]) => void,
  ) {}

  start(): void {
    this.fetch(0);
  }

  /** Stops retrying, because the machine types are known from elsewhere or the controller stops. */
  stop(): void {
    this.isStopped = true;
  }

  private fetch(failures: number): void {
    if (this.isStopped) return;
    void this.stateStore.get(keys.types, this.clock.nowMs() + READ_TIMEOUT_MS).then((outcome) => {
      const types = outcome.kind === "found" ? decodeMachineTypes(outcome.item.value) : null;
      if (types && types.length > 0) {
        this.onMachineTypes(types);
        return;
      }
      const retryMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS + failures * RETRY_STEP_MS);
      this.clock.after(retryMs, () => this.fetch(failures + 1));
    });
  }
}
