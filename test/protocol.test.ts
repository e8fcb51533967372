import assert from "node:assert/strict";
import test from "node:test";
import { rejectionReason } from "../src/coordination/admission/admission.js";
import { decodePeerMessage, encodePeerMessage } from "../src/protocol/peers/codec.js";
import type { PeerMessage } from "../src/protocol/peers/messages.js";
import { decodeSubmission, encodeSubmission, routeRequest } from "../src/protocol/users.js";
import { decodeHeartbeat, encodeDirectCommands } from "../src/protocol/workers.js";
import { peerMessages } from "./fakes/peerMessages.js";
import { FrameDecoder, encodeFrame } from "../src/transport/frames.js";
import {
  TASKS_PER_CHUNK,
  decodeChunk,
  decodeHead,
  encodeChunk,
  encodeHead,
} from "../src/bookkeeping/records.js";

const good = {
  ref: "job-000412",
  strain: "train",
  crew: "vision",
  form: "ensemble",
  rank: "high",
  spores: 16,
  cores: 8.0,
  gpus: 1.0,
  memoryGb: 64.0,
  seedstock: "img-07",
  pullGb: 6.2,
  breeds: ["g8"],
  patch: null,
  together: true,
  scatter: false,
  windfall: true,
  guessS: 240.0,
  cairnS: 30.0,
  stashS: 4.0,
  dueS: 900.0,
};

test("submissions: what is malformed", () => {
  const cases: [string, unknown, boolean][] = [
    ["as published", good, true],
    ["unknown fields are ignored", { ...good, colour: "red" }, true],
    ["null and missing are the same", { ...good, breeds: undefined, dueS: undefined }, true],
    ["not an object", [good], false],
    ["null", null, false],
    ["text", "job", false],
    ["no id", { ...good, ref: undefined }, false],
    ["an id of another form", { ...good, ref: "job-12a" }, false],
    ["a path as id", { ...good, ref: "job-1/../2" }, false],
    ["no tasks", { ...good, spores: 0 }, false],
    ["half a task", { ...good, spores: 1.5 }, false],
    ["as many as may be", { ...good, spores: 100_000 }, true],
    ["more tasks than may be", { ...good, spores: 100_001 }, false],
    ["a number as text", { ...good, cores: "8" }, false],
    ["a negative amount", { ...good, memoryGb: -1 }, false],
    ["an unknown form", { ...good, form: "toString" }, false],
    ["an unknown rank", { ...good, rank: "urgent" }, false],
    ["a flag as number", { ...good, together: 1 }, false],
    ["types that are not names", { ...good, breeds: [1] }, false],
    ["a negative deadline", { ...good, dueS: -5 }, false],
  ];
  for (const [name, value, want] of cases) assert.equal(decodeSubmission(value).kind === "valid", want, name);
  const { spec } = decodeSubmission(good) as { spec: Parameters<typeof encodeSubmission>[0] };
  assert.deepEqual(encodeSubmission(spec), good);
});

test("submissions: what can never run", () => {
  const { spec } = decodeSubmission(good) as { spec: Parameters<typeof encodeSubmission>[0] };
  const types = [
    {
      name: "g8",
      cpus: 96,
      gpus: 8,
      memoryGb: 768,
      cacheGb: 1,
      fetchGbPerS: 1,
      price: 1,
      spotPrice: 1,
      bootS: 1,
      zones: ["a"],
    },
  ];
  const teams = [{ name: "vision", guaranteedCpus: 0, maxCpus: 128, guaranteedGpus: 0, maxGpus: 16 }];
  const cases: [string, object, boolean][] = [
    ["fits exactly", {}, false],
    ["unknown team", { team: "x" }, true],
    ["too large for any type", { cpus: 97 }, true],
    ["only types that there aren't", { types: ["zz"] }, true],
    ["only a zone that there isn't", { zone: "q" }, true],
    ["a gang above the limit", { tasks: 17 }, true],
    ["an array counts one task", { tasks: 17, kind: "array" }, false],
    ["a service counts all tasks", { tasks: 17, kind: "service" }, true],
  ];
  for (const [name, change, want] of cases) {
    assert.equal(rejectionReason({ ...spec, ...change }, types, teams) !== null, want, name);
  }
});

test("routes", () => {
  for (const [method, path, want] of [
    ["POST", "/v1/jobs", "submit"],
    ["GET", "/v1/jobs", 405],
    ["GET", "/v1/jobs/job-1", "show"],
    ["DELETE", "/v1/jobs/job-1", 405],
    ["POST", "/v1/jobs/job-1/cancel", "cancel"],
    ["POST", "/v1/jobs/job-1/stop", 404],
    ["GET", "/ready", "ready"],
    ["POST", "/checkin", "heartbeat"],
    ["GET", "/", 404],
  ] as const) {
    const got = routeRequest(method, path);
    assert.equal(got.call === "none" ? got.status : got.call, want, `${method} ${path}`);
  }
});

test("reports: one task that can't be read spoils the whole, so that none looks gone", () => {
  const report = {
    tuft: "host-1",
    bloom: 1,
    tick: 2,
    crook: 3,
    spores: [{ spore: "job-1/3", sprout: 2, phase: "gathering" }],
  };
  assert.equal(decodeHeartbeat(report)?.tasks[0]?.phase, "waiting");
  for (const spores of [
    [{ spore: "job-1", sprout: 2, phase: "running" }],
    [{ spore: "job-1/1", sprout: 2, phase: "asleep" }],
    [7],
    "x",
  ]) {
    assert.equal(decodeHeartbeat({ ...report, spores }), null, JSON.stringify(spores));
  }
  assert.deepEqual(
    encodeDirectCommands(5, 1, [{ op: "stop", jobId: "job-1", task: 3, attempt: 2, graceS: 10 }]),
    {
      crook: 5,
      bloom: 1,
      bids: [{ verb: "stop", spore: "job-1/3", sprout: 2, wiltS: 10 }],
    },
  );
});

test("peers: every message survives the wire, cut anywhere; rubbish doesn't pass", () => {
  const messages = Object.values(peerMessages);
  const stream = Buffer.concat(messages.map((m) => encodeFrame(encodePeerMessage(m))));
  for (const step of [1, 3, 7, stream.length]) {
    const reader = new FrameDecoder();
    const got: (PeerMessage | null)[] = [];
    for (let at = 0; at < stream.length; at += step) {
      for (const f of reader.push(stream.subarray(at, at + step)) ?? []) got.push(decodePeerMessage(f));
    }
    assert.deepEqual(got, messages, `in pieces of ${step}`);
  }
  assert.equal(new FrameDecoder().push(Buffer.from("GET / HTTP/1.1\r\n")), null);
  for (const message of messages) {
    const whole = encodePeerMessage(message);
    for (let cut = 0; cut < whole.length; cut++)
      assert.equal(decodePeerMessage(whole.subarray(0, cut)), null, message.kind);
    assert.equal(
      decodePeerMessage(Buffer.concat([whole, Buffer.from([0])])),
      null,
      `${message.kind} with more behind it`,
    );
  }
  for (const bad of [Buffer.alloc(0), Buffer.from([99, 0, 0])]) assert.equal(decodePeerMessage(bad), null);
});

test("records: a full chunk fits the smallest value limit and comes back as it was", () => {
  const done = new Uint8Array(TASKS_PER_CHUNK / 8);
  done[3] = 129;
  const attempts = Array.from({ length: TASKS_PER_CHUNK }, (_, i) => ({
    task: 99_000 + i,
    attempt: 900 * 2 ** 24 + i,
    machine: `host-${String(i % 40).padStart(6, "0")}`,
    zone: "redcliffe",
  }));
  const value = encodeChunk({ done, attempts });
  assert.ok(JSON.stringify(value).length < 8 * 1024);
  assert.deepEqual(decodeChunk(JSON.parse(JSON.stringify(value))), { done, attempts });
  const { spec } = decodeSubmission(good) as { spec: Parameters<typeof encodeSubmission>[0] };
  const head = { spec, acceptedAt: new Date(1_700_000_000_000), cancelledAt: new Date(1_700_000_000_500) };
  assert.deepEqual(decodeHead(JSON.parse(JSON.stringify(encodeHead(head)))), head);
  const live = { ...head, cancelledAt: null };
  assert.deepEqual(decodeHead(JSON.parse(JSON.stringify(encodeHead(live)))), live);
  const older = { ...(encodeHead(live) as object), x: true };
  assert.deepEqual(
    decodeHead(older),
    { ...head, cancelledAt: head.acceptedAt },
    "without a time: the earliest",
  );
});
