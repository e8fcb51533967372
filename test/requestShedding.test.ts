/**
 * Load shedding at a controller with too many concurrent user requests. If it shed the same queries every time, their jobs
 * would have no successful query within 75 s and count as forgotten; submissions and cancellations must not be shed.
 */
import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./fakes/world.js";

const CONTROLLER = "n0";
const JOB_COUNT = 420;
const ROUNDS = 20;

test("an overloaded controller sheds status queries of no job every time, and never rejects a change", async () => {
  const world = new World(33, { controllerCount: 5 });
  const { users } = world;
  await world.run(3);
  const ids = Array.from({ length: JOB_COUNT }, (_, i) => `job-7${String(i).padStart(5, "0")}`);
  for (const ref of ids) users.submit({ ref, spores: 1, cores: 0.125, memoryGb: 0.125, crew: "two" }, null);
  await world.run(25);
  const responseCounts = new Map(ids.map((id) => [id, 0]));
  let shedQueryCount = 0;
  const rejectedChanges: string[] = [];
  const query = (id: string): void => {
    void users.request("GET", `/v1/jobs/${id}`, undefined, CONTROLLER).then(({ status }) => {
      if (status === 200) responseCounts.set(id, responseCounts.get(id)! + 1);
      else shedQueryCount++;
    });
  };
  const change = (path: string, body: unknown): void => {
    void users.request("POST", path, body, CONTROLLER).then(({ status }) => {
      if (status === 503) rejectedChanges.push(path);
    });
  };
  for (let round = 0; round < ROUNDS; round++) {
    for (const id of ids) query(id);
    // One submission and one cancellation among the queries of each round.
    const id = ids[round]!;
    users.jobs.get(id)!.isCancelRequested = true;
    change("/v1/jobs", {
      ...users.jobs.get(ids[0]!)!.spec,
      ref: `job-6${String(round).padStart(5, "0")}`,
    });
    change(`/v1/jobs/${id}/cancel`, undefined);
    await world.run(2.5);
  }
  assert.ok(shedQueryCount > 200, `${shedQueryCount} queries were shed`);
  assert.deepEqual(rejectedChanges, [], "no change is rejected because of queries");
  const fewestResponses = Math.min(...responseCounts.values());
  assert.ok(
    fewestResponses >= 3,
    `each job has at least 3 successful queries; the fewest were ${fewestResponses} of ${ROUNDS}`,
  );
  assert.deepEqual(world.violations, []);
});
