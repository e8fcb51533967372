/** What a machine has, or a task requests, of each kind of resource. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}
