/** The job from which tests of single components build theirs. */
import type { JobSpec } from "../../src/protocol/model.js";

/** An array of two small tasks without constraints; tests replace what they need. */
export const ARRAY_OF_TWO: JobSpec = {
  id: "job-1",
  className: "class",
  team: "team",
  kind: "array",
  priority: 1,
  tasks: 2,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: "image",
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  estimateS: 100,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
};
