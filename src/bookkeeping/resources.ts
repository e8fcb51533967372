/** Amounts of each resource that a machine offers, a task requests or attempts hold. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}
