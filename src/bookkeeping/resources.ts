/** What a machine has, or a task takes, of each kind. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}
