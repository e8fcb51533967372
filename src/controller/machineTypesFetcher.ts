/** A controller that doesn't lead gets the machine types from the state store, where a leader has put them. */
import { keys } from "../bookkeeping/records.js";
import type { StateStoreClient } from "../bookkeeping/stateStoreClient.js";
import { decodeMachineTypes } from "../protocol/cloud.js";
import type { MachineType } from "../protocol/model.js";
import type { Clock } from "../transport/clock.js";

const READ_TIMEOUT_MS = 2000;
const FIRST_RETRY_MS = 200;
/** Each retry waits so much longer than the one before, up to the last of these. */
const RETRY_STEP_MS = 100;
const MAX_RETRY_MS = 1000;

/** Reads the stored machine types again and again, until some are known from wherever. */
export class MachineTypesFetcher {
  private isDone = false;

  constructor(
    private readonly stateStore: StateStoreClient,
    private readonly clock: Clock,
    private readonly onTypes: (types: MachineType[]) => void,
  ) {}

  start(): void {
    this.fetch(0);
  }

  /** Ends the reads: the types are known, or the controller stops. */
  stop(): void {
    this.isDone = true;
  }

  private fetch(failures: number): void {
    if (this.isDone) return;
    void this.stateStore.get(keys.types, this.clock.nowMs() + READ_TIMEOUT_MS).then((outcome) => {
      const types = outcome.kind === "found" ? decodeMachineTypes(outcome.item.value) : null;
      if (types && types.length > 0) {
        this.onTypes(types);
        return;
      }
      const retryMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS + failures * RETRY_STEP_MS);
      this.clock.after(retryMs, () => this.fetch(failures + 1));
    });
  }
}
