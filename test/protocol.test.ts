import assert from "node:assert/strict";
import test from "node:test";
import {
  decodeChunk,
  decodeHead,
  encodeChunk,
  encodeHead,
  TASKS_PER_CHUNK,
} from "../src/bookkeeping/records.js";
import { KnownZones } from "../src/bookkeeping/knownZones.js";
import { rejectionReason } from "../src/coordination/admission/rejectionReason.js";
import type { JobSpec } from "../src/protocol/model.js";
import { decodePeerMessage, encodePeerMessage } from "../src/protocol/peers/codec.js";
import type { PeerMessage } from "../src/protocol/peers/messages.js";
import { decodeSubmission, encodeSubmission, routeRequest } from "../src/protocol/users.js";
import { decodeHeartbeat, encodeDirectCommands } from "../src/protocol/workers.js";
import { encodeFrame, FrameDecoder } from "../src/transport/frames.js";
import { peerMessages } from "./fakes/peerMessages.js";

/** A valid submission in the format in which users write it. */
const submission = {
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

function specOf(value: unknown): JobSpec {
  const decoded = decodeSubmission(value);
  assert.equal(decoded.kind, "valid");
  return (decoded as { spec: JobSpec }).spec;
}

test("a submission in the documented format is valid, and encoding the decoded job restores it", () => {
  const cases: { name: string; value: unknown }[] = [
    { name: "the documented format", value: submission },
    { name: "unknown fields are ignored", value: { ...submission, colour: "red" } },
    {
      name: "a missing optional field means the same as null",
      value: { ...submission, breeds: undefined, dueS: undefined },
    },
    { name: "the maximum number of tasks", value: { ...submission, spores: 100_000 } },
  ];
  for (const { name, value } of cases) assert.equal(decodeSubmission(value).kind, "valid", name);
  assert.deepEqual(encodeSubmission(specOf(submission)), submission);
});

test("a submission that is not a JSON object is malformed", () => {
  for (const value of [[submission], null, "job"]) {
    assert.equal(decodeSubmission(value).kind, "malformed", JSON.stringify(value));
  }
});

test("a submission with a missing or malformed field is malformed, and the reason names the field", () => {
  const cases: { name: string; change: Record<string, unknown> }[] = [
    { name: "no id", change: { ref: undefined } },
    { name: "an id in another format", change: { ref: "job-12a" } },
    { name: "a path as the id", change: { ref: "job-1/../2" } },
    { name: "no tasks", change: { spores: 0 } },
    { name: "a fractional number of tasks", change: { spores: 1.5 } },
    { name: "more than the maximum number of tasks", change: { spores: 100_001 } },
    { name: "a number as a string", change: { cores: "8" } },
    { name: "a negative amount", change: { memoryGb: -1 } },
    { name: "an unknown job kind", change: { form: "toString" } },
    { name: "an unknown priority", change: { rank: "urgent" } },
    { name: "a flag as a number", change: { together: 1 } },
    { name: "machine types that are not strings", change: { breeds: [1] } },
    { name: "a negative deadline", change: { dueS: -5 } },
    { name: "several malformed fields", change: { dueS: -5, crew: "" } },
  ];
  const fieldOrder = Object.keys(submission);
  for (const { name, change } of cases) {
    const fields = fieldOrder.filter((field) => field in change).join(", ");
    const expected = { kind: "malformed", reason: `missing or invalid: ${fields}` };
    assert.deepEqual(decodeSubmission({ ...submission, ...change }), expected, name);
  }
});

test("a job that can never run is rejected", () => {
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
    ["a task too large for any machine type", { cpus: 97 }, true],
    ["only unknown machine types are allowed", { types: ["zz"] }, true],
    ["only an unknown zone is allowed", { zone: "q" }, true],
    ["a gang above the team's limit", { tasks: 17 }, true],
    ["only one task of an array counts against the limit", { tasks: 17, kind: "array" }, false],
    ["all tasks of a service count against the limit", { tasks: 17, kind: "service" }, true],
  ];
  for (const [name, change, isRejected] of cases) {
    assert.equal(
      rejectionReason({ ...specOf(submission), ...change }, types, teams) !== null,
      isRejected,
      name,
    );
  }
});

test("a request is routed to one call by its method and path, or results in 404 or 405", () => {
  const cases = [
    ["POST", "/v1/jobs", "submit"],
    ["GET", "/v1/jobs", 405],
    ["GET", "/v1/jobs/job-1", "show"],
    ["DELETE", "/v1/jobs/job-1", 405],
    ["POST", "/v1/jobs/job-1/cancel", "cancel"],
    ["POST", "/v1/jobs/job-1/stop", 404],
    ["GET", "/ready", "ready"],
    ["POST", "/checkin", "heartbeat"],
    ["GET", "/", 404],
  ] as const;
  for (const [method, path, expected] of cases) {
    const route = routeRequest(method, path);
    assert.equal(route.call === "none" ? route.status : route.call, expected, `${method} ${path}`);
  }
});

test("one malformed task makes the whole heartbeat malformed, so that no task seems to be gone", () => {
  const heartbeat = {
    tuft: "host-1",
    bloom: 1,
    tick: 2,
    crook: 3,
    spores: [{ spore: "job-1/3", sprout: 2, phase: "gathering" }],
  };
  assert.equal(decodeHeartbeat(heartbeat)?.tasks[0]?.phase, "waiting");
  const malformedTasks = [
    [{ spore: "job-1", sprout: 2, phase: "running" }],
    [{ spore: "job-1/1", sprout: 2, phase: "asleep" }],
    [7],
    "x",
  ];
  for (const spores of malformedTasks) {
    assert.equal(decodeHeartbeat({ ...heartbeat, spores }), null, JSON.stringify(spores));
  }
});

test("commands are encoded with the field names of the worker protocol", () => {
  const stop = { op: "stop", jobId: "job-1", task: 3, attempt: 2, graceS: 10 } as const;
  assert.deepEqual(encodeDirectCommands(5, 1, [stop]), {
    crook: 5,
    bloom: 1,
    bids: [{ verb: "stop", spore: "job-1/3", sprout: 2, wiltS: 10 }],
  });
});

test("peer messages are decoded from a stream that is split anywhere, and only complete messages are decoded", () => {
  const messages = Object.values(peerMessages);
  const stream = Buffer.concat(messages.map((message) => encodeFrame(encodePeerMessage(message))));
  for (const chunkBytes of [1, 3, 7, stream.length]) {
    const decoder = new FrameDecoder();
    const decoded: (PeerMessage | null)[] = [];
    for (let start = 0; start < stream.length; start += chunkBytes) {
      const payloads = decoder.push(stream.subarray(start, start + chunkBytes)) ?? [];
      for (const payload of payloads) decoded.push(decodePeerMessage(payload));
    }
    assert.deepEqual(decoded, messages, `in chunks of ${chunkBytes} bytes`);
  }
  assert.equal(new FrameDecoder().push(Buffer.from("GET / HTTP/1.1\r\n")), null);
  for (const message of messages) {
    const encoded = encodePeerMessage(message);
    for (let length = 0; length < encoded.length; length++)
      assert.equal(decodePeerMessage(encoded.subarray(0, length)), null, message.kind);
    const tooLong = Buffer.concat([encoded, Buffer.from([0])]);
    assert.equal(decodePeerMessage(tooLong), null, `${message.kind} with a trailing byte`);
  }
  for (const invalid of [Buffer.alloc(0), Buffer.from([99, 0, 0])])
    assert.equal(decodePeerMessage(invalid), null);
});

test("a full chunk of tasks fits the smallest value size limit, and stored records are decoded unchanged", () => {
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
  assert.deepEqual(decodeChunk(JSON.parse(JSON.stringify(value)), new KnownZones(["redcliffe"])), {
    done,
    attempts,
  });
  const head = {
    spec: specOf(submission),
    acceptedAt: new Date(1_700_000_000_000),
    cancelledAt: new Date(1_700_000_000_500),
  };
  assert.deepEqual(decodeHead(JSON.parse(JSON.stringify(encodeHead(head)))), head);
  const live = { ...head, cancelledAt: null };
  assert.deepEqual(decodeHead(JSON.parse(JSON.stringify(encodeHead(live)))), live);
  const recordWithoutTime = { ...(encodeHead(live) as object), x: true };
  assert.deepEqual(
    decodeHead(recordWithoutTime),
    { ...head, cancelledAt: head.acceptedAt },
    "a record without a cancellation time is decoded with the acceptance time, the earliest possible one",
  );
});
