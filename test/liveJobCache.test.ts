import assert from "node:assert/strict";
import test from "node:test";
import { LiveJobCache } from "../src/bookkeeping/liveJobCache.js";
import { encodeHead, keys } from "../src/bookkeeping/records.js";
import type {
  Item,
  ListOutcome,
  StateStoreClient,
  WatchOutcome,
} from "../src/bookkeeping/stateStoreClient.js";
import type { JobSpec } from "../src/protocol/model.js";
import { SimClock } from "./fakes/clock.js";

const READ_INTERVAL_MS = 50;

function headItem(id: string, version: number): Item {
  const head = { spec: { id, tasks: 1 } as JobSpec, acceptedAt: new Date(1), cancelledAt: null };
  return { key: keys.head(id), value: encodeHead(head), version };
}

/** Waits until the callbacks of resolved promises have run. */
const flushPromises = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Creates a cache over a fake state store that returns the given responses in order. */
function createCache(store: { list: ListOutcome[]; watch: WatchOutcome[] }) {
  const clock = new SimClock();
  const reads: string[] = [];
  const client = {
    list: () => {
      reads.push("list");
      return Promise.resolve(store.list.shift()!);
    },
    watch: (_: string, after: number) => {
      reads.push(`changes after ${after}`);
      return Promise.resolve(store.watch.shift()!);
    },
  } as unknown as StateStoreClient;
  const cache = new LiveJobCache(client, clock, READ_INTERVAL_MS);
  /** Requests a refresh with a deadline `withinMs` from now. */
  const refresh = (withinMs = 1000): Promise<boolean> => cache.refresh(clock.nowMs() + withinMs);
  return { clock, cache, reads, refresh };
}

test("waiting requests share one read, which starts no sooner than the read interval allows", async () => {
  const listed: ListOutcome = { kind: "ok", items: [headItem("job-1", 4)], revision: 9 };
  const unchanged: WatchOutcome = { kind: "ok", revision: 9, events: [] };
  const { clock, cache, reads, refresh } = createCache({ list: [listed], watch: [unchanged] });
  assert.equal(await refresh(), true);
  const shared = [refresh(), refresh()];
  await flushPromises();
  assert.deepEqual(reads, ["list"]);
  await clock.advance(READ_INTERVAL_MS);
  assert.deepEqual(await Promise.all(shared), [true, true]);
  assert.deepEqual(reads, ["list", "changes after 9"]);
  assert.equal(cache.liveJob("job-1")?.version, 4);
});

test("changes are applied to the result of the last read", async () => {
  const listed: ListOutcome = {
    kind: "ok",
    items: [headItem("job-1", 4), headItem("job-2", 5)],
    revision: 9,
  };
  const changed: WatchOutcome = {
    kind: "ok",
    revision: 12,
    events: [{ key: keys.head("job-1"), isDeleted: true, version: 11 }, headItem("job-3", 12)],
  };
  const { clock, cache, refresh } = createCache({ list: [listed], watch: [changed] });
  await refresh();
  const refreshed = refresh();
  await clock.advance(READ_INTERVAL_MS);
  assert.equal(await refreshed, true);
  assert.deepEqual(
    ["job-1", "job-2", "job-3"].map((id) => cache.liveJob(id)?.version),
    [undefined, 5, 12],
  );
});

test("all heads are read again when the state store no longer has the changes", async () => {
  const first: ListOutcome = { kind: "ok", items: [headItem("job-1", 4)], revision: 9 };
  const second: ListOutcome = { kind: "ok", items: [headItem("job-2", 50)], revision: 60 };
  const { clock, cache, reads, refresh } = createCache({
    list: [first, second],
    watch: [{ kind: "too old" }],
  });
  await refresh();
  const refreshed = refresh();
  await clock.advance(READ_INTERVAL_MS);
  assert.equal(await refreshed, true);
  assert.deepEqual(reads, ["list", "changes after 9", "list"]);
  assert.deepEqual([cache.liveJob("job-1"), cache.liveJob("job-2")?.version], [undefined, 50]);
});

test("after a failed read, requests with time left wait for the next read and the others fail", async () => {
  const listed: ListOutcome = { kind: "ok", items: [], revision: 9 };
  const { clock, refresh } = createCache({ list: [{ kind: "failed" }, listed], watch: [] });
  const short = refresh(100);
  const long = refresh(1000);
  assert.equal(await short, false);
  await clock.advance(100);
  assert.equal(await long, true);
});
