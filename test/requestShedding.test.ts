/** A controller with too many user requests at once sheds status queries, and nothing else. */
import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./fakes/world.js";

const CONTROLLER = "n0";
const JOBS = 420;
const ROUNDS = 20;

/** If it shed the same queries each time, their jobs would seem forgotten. */
test("an overloaded controller sheds status queries, but no job's every time, and no change", async () => {
  const world = new World(33, { controllerCount: 5 });
  const { users } = world;
  await world.run(3);
  const ids = Array.from({ length: JOBS }, (_, i) => `job-7${String(i).padStart(5, "0")}`);
  for (const ref of ids) users.submit({ ref, spores: 1, cores: 0.125, memoryGb: 0.125, crew: "two" }, null);
  await world.run(25);
  const responses = new Map(ids.map((id) => [id, 0]));
  let shedQueries = 0;
  const refusedChanges: string[] = [];
  const query = (id: string): void => {
    void users.request("GET", `/v1/jobs/${id}`, undefined, CONTROLLER).then(({ status }) => {
      if (status === 200) responses.set(id, responses.get(id)! + 1);
      else shedQueries++;
    });
  };
  const change = (path: string, body: unknown): void => {
    void users.request("POST", path, body, CONTROLLER).then(({ status }) => {
      if (status === 503) refusedChanges.push(path);
    });
  };
  for (let round = 0; round < ROUNDS; round++) {
    for (const id of ids) query(id);
    // In the midst of the flood: a submission and a cancellation.
    const id = ids[round]!;
    users.jobs.get(id)!.isCancelRequested = true;
    change("/v1/jobs", {
      ...users.jobs.get(ids[0]!)!.spec,
      ref: `job-6${String(round).padStart(5, "0")}`,
    });
    change(`/v1/jobs/${id}/cancel`, undefined);
    await world.run(2.5);
  }
  assert.ok(shedQueries > 200, `${shedQueries} were shed`);
  assert.deepEqual(refusedChanges, [], "no change is refused because of queries");
  const fewest = Math.min(...responses.values());
  assert.ok(fewest >= 3, `each job's query succeeds within 75 s, the worst ${fewest} of ${ROUNDS} times`);
  assert.deepEqual(world.violations, []);
});
