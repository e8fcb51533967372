import assert from "node:assert/strict";
import test from "node:test";
import {
  decodeChunk,
  decodeFinal,
  decodeHead,
  encodeChunk,
  encodeFinal,
  encodeHead,
  jobIdOfHeadKey,
  jobIdOfKey,
  keys,
  parseChunkKey,
  TASKS_PER_CHUNK,
  type ChunkRecord,
  type FinalRecord,
  type JobHead,
} from "../src/bookkeeping/records.js";
import { KnownZones } from "../src/bookkeeping/knownZones.js";
import type { JobSpec } from "../src/protocol/model.js";

// The stored strings are golden values: each version has to read the records of earlier and later versions.

const spec: JobSpec = {
  id: "job-1",
  className: "batch",
  team: "blue",
  kind: "array",
  priority: 2,
  tasks: 3,
  cpus: 1.5,
  gpus: 0,
  memoryGb: 4,
  image: "solver",
  imageGb: 2.5,
  types: ["small", "large"],
  zone: null,
  oneZone: false,
  spread: true,
  spot: true,
  estimateS: 60,
  checkpointS: 30,
  saveS: 2,
  deadlineS: null,
};
const storedSpec =
  '"id":"job-1","className":"batch","team":"blue","kind":"array","priority":2,"tasks":3,"cpus":1.5,"gpus":0,' +
  '"memoryGb":4,"image":"solver","imageGb":2.5,"types":["small","large"],"zone":null,"oneZone":false,"spread":true,' +
  '"spot":true,"estimateS":60,"checkpointS":30,"saveS":2,"deadlineS":null';
const acceptedAt = new Date(1_790_000_000_000);
const cancelledAt = new Date(1_790_000_060_500);

const headCases: { name: string; stored: string; head: JobHead }[] = [
  {
    name: "a job that is not cancelled",
    stored: `{${storedSpec},"at":1790000000000,"x":false}`,
    head: { spec, acceptedAt, cancelledAt: null },
  },
  {
    name: "a cancelled job",
    stored: `{${storedSpec},"at":1790000000000,"x":true,"xAt":1790000060500}`,
    head: { spec, acceptedAt, cancelledAt },
  },
];
for (const { name, stored, head } of headCases) {
  test(`the head of ${name} is encoded to its golden value and decoded from it`, () => {
    assert.equal(JSON.stringify(encodeHead(head)), stored);
    assert.deepEqual(decodeHead(JSON.parse(stored)), head);
  });
}

test("a head cancelled before version 0.4.0 has no cancellation time and gets its acceptance time instead", () => {
  const stored = `{${storedSpec},"at":1790000000000,"x":true}`;
  assert.deepEqual(decodeHead(JSON.parse(stored)), { spec, acceptedAt, cancelledAt: acceptedAt });
});

const finalRecordCases: { name: string; stored: string; final: FinalRecord }[] = [
  { name: "a finished job", stored: '{"x":false,"n":3}', final: { isCancelled: false, tasks: 3 } },
  { name: "a cancelled job", stored: '{"x":true,"n":100000}', final: { isCancelled: true, tasks: 100_000 } },
];
for (const { name, stored, final } of finalRecordCases) {
  test(`the final record of ${name} is encoded to its golden value and decoded from it`, () => {
    assert.equal(JSON.stringify(encodeFinal(final)), stored);
    assert.deepEqual(decodeFinal(JSON.parse(stored)), final);
  });
}

const ZONES = new KnownZones(["north", "south", "far north"]);

/** Returns a bitmap in which the bits of the given tasks are set. */
function bitmap(...tasks: number[]): Uint8Array {
  const done = new Uint8Array(TASKS_PER_CHUNK / 8);
  for (const task of tasks) done[task >> 3]! |= 1 << (task & 7);
  return done;
}

const chunkCases: { name: string; stored: string; chunk: ChunkRecord }[] = [
  {
    name: "without attempts",
    stored: '{"d":"AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAI=","m":[],"a":[]}',
    chunk: { done: bitmap(0, 249), attempts: [] },
  },
  {
    name: "with attempts, which lists each machine once,",
    stored:
      '{"d":"gAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=","m":["m-1 north","m-2 south"],' +
      '"a":[[1,50331648,0],[2,50331649,1],[300,50331650,0]]}',
    chunk: {
      done: bitmap(7),
      attempts: [
        { task: 1, attempt: 50_331_648, machine: "m-1", zone: "north" },
        { task: 2, attempt: 50_331_649, machine: "m-2", zone: "south" },
        { task: 300, attempt: 50_331_650, machine: "m-1", zone: "north" },
      ],
    },
  },
];
for (const { name, stored, chunk } of chunkCases) {
  test(`a chunk ${name} is encoded to its golden value and decoded from it`, () => {
    assert.equal(JSON.stringify(encodeChunk(chunk)), stored);
    assert.deepEqual(decodeChunk(JSON.parse(stored), ZONES), chunk);
  });
}

const decodeAnyChunk = (value: unknown): unknown => decodeChunk(value, ZONES);

const undecodableCases: { name: string; decode: (value: unknown) => unknown; stored: unknown }[] = [
  { name: "a head that is not an object", decode: decodeHead, stored: "head" },
  { name: "a head without an acceptance time", decode: decodeHead, stored: { ...spec, x: false } },
  { name: "a head without an id", decode: decodeHead, stored: { ...spec, id: "", at: 1, x: false } },
  {
    name: "a head whose number of tasks is not an integer",
    decode: decodeHead,
    stored: { ...spec, tasks: 1.5, at: 1 },
  },
  { name: "a final record without a number of tasks", decode: decodeFinal, stored: { x: true } },
  { name: "a chunk without a bitmap", decode: decodeAnyChunk, stored: { m: [], a: [] } },
  { name: "a chunk without machines", decode: decodeAnyChunk, stored: { d: "", a: [] } },
  { name: "a chunk without attempts", decode: decodeAnyChunk, stored: { d: "", m: [] } },
  {
    name: "a chunk with an attempt on an unlisted machine",
    decode: decodeAnyChunk,
    stored: { d: "", m: [], a: [[0, 1, 0]] },
  },
];
for (const { name, decode, stored } of undecodableCases) {
  test(`${name} is decoded to null`, () => assert.equal(decode(stored), null));
}

test("keys keep the layout that other versions use", () => {
  assert.deepEqual(
    [
      keys.term,
      keys.leader,
      keys.leadershipPrefix,
      keys.headPrefix,
      keys.chunkPrefix,
      keys.types,
      keys.moves,
    ],
    ["lead/term", "lead/hold", "lead/", "j/", "c/", "types", "moves"],
  );
  assert.deepEqual(
    [keys.head("job-1"), keys.final("job-1"), keys.chunk("job-1", 3)],
    ["j/job-1", "f/job-1", "c/job-1/3"],
  );
});

test("the job id and the chunk index are parsed from keys", () => {
  assert.equal(jobIdOfHeadKey(keys.head("job-1")), "job-1");
  for (const key of [keys.head("job-1"), keys.final("job-1"), keys.chunk("job-1", 3)])
    assert.equal(jobIdOfKey(key), "job-1", key);
  assert.deepEqual(parseChunkKey(keys.chunk("job-1", 3)), { id: "job-1", index: 3 });
  assert.ok(Number.isNaN(parseChunkKey("c/job-1").index));
});
