/** Sample heartbeats and peer messages for tests of their encodings. */
import type { Heartbeat, TaskStatus } from "../../src/protocol/model.js";
import type { PeerMessage } from "../../src/protocol/peers/messages.js";

/** A heartbeat whose fields reach the limits of their encodings. */
export const largeHeartbeat: Heartbeat = {
  machine: "host-1",
  address: "10.1.0.1:9000",
  type: "g8",
  zone: "Óbuda",
  spot: true,
  epoch: 3,
  tick: 2 ** 40,
  fencingToken: 2 ** 45,
  interruptionNoticeS: 7.25,
  tasks: [
    {
      jobId: "job-1",
      task: 99_999,
      attempt: 2 ** 50,
      phase: "exited",
      cause: "stopped",
      checkpointSaved: true,
    },
    { jobId: "job-1", task: 0, attempt: 1, phase: "running", cause: null, checkpointSaved: false },
  ],
};

/** A heartbeat with tasks in every phase and with every exit cause, and without an interruption notice. */
export const variedHeartbeat: Heartbeat = {
  machine: "host-2",
  address: "",
  type: "",
  zone: "",
  spot: false,
  epoch: 0,
  tick: 0,
  fencingToken: 0,
  interruptionNoticeS: null,
  tasks: [
    ...(["fetching", "waiting", "running", "saving"] as const).map((phase, task): TaskStatus => ({
      jobId: "job-2",
      task,
      attempt: 7,
      phase,
      cause: null,
      checkpointSaved: false,
    })),
    ...(
      ["done", "stopped", "peers", "incomplete", "error", "no_room", "in_use", "unknown", "other"] as const
    ).map((cause, task): TaskStatus => ({
      jobId: "job-3",
      task,
      attempt: 8,
      phase: "exited",
      cause,
      checkpointSaved: false,
    })),
  ],
};

/** At least one message of each kind, by name; they cover both values of each flag and each optional field. */
export const peerMessages: Record<string, PeerMessage> = {
  hello: { kind: "hello", from: "n3", version: 2 },
  "extension request": { kind: "extension request", from: "n1", term: 7, requestId: 2 ** 40 },
  "extension vote: yes": { kind: "extension vote", from: "n2", term: 7, requestId: 1, isGranted: true },
  "extension vote: no": { kind: "extension vote", from: "n2", term: 7, requestId: 2, isGranted: false },
  "term announcement": { kind: "term announcement", from: "n1", term: 8 },
  "term acknowledgement": { kind: "term acknowledgement", from: "n1", term: 8 },
  "task counts": { kind: "task counts", from: "n1", term: 8, jobs: [{ id: "job-1", done: 3, running: 2 }] },
  "heartbeat server update": {
    kind: "heartbeat server update",
    from: "n2",
    term: 8,
    incarnation: 2 ** 40,
    sequence: 3,
    lastGrantIssuedAtMs: 90_000,
    lastResyncIssuedAtMs: 11,
    requestedAtMs: 4000,
    workerCount: 70,
    lagMs: 12,
    unchanged: [{ machine: "host-1", epoch: 1, tick: 9 }],
    heartbeats: [{ ageMs: 7, heartbeat: largeHeartbeat }],
    cancellations: [{ id: "job-7", cancelledAt: new Date(1_700_000_000_123) }],
    cancellationSeq: 4,
    cancellationsComplete: true,
  },
  "heartbeat server update: empty": {
    kind: "heartbeat server update",
    from: "n2",
    term: 8,
    incarnation: 1,
    sequence: 1,
    lastGrantIssuedAtMs: 0,
    lastResyncIssuedAtMs: 0,
    requestedAtMs: 5,
    workerCount: 0,
    lagMs: 0,
    unchanged: [],
    heartbeats: [],
    cancellations: [],
    cancellationSeq: 0,
    cancellationsComplete: false,
  },
  grant: {
    kind: "grant",
    from: "n1",
    term: 8,
    incarnation: 2 ** 40,
    requestedAtMs: 4000,
    zoneDurationMs: 22_500,
    durationMs: 2000,
    issuedAtMs: 90_400,
    stateStoreReachable: true,
    resync: false,
    cancellationSeq: 4,
    quarantined: ["host-3"],
    servers: [{ node: "n2", workerCount: 70, lagMs: 12 }],
  },
  "grant: resync": {
    kind: "grant",
    from: "n1",
    term: 9,
    incarnation: 6,
    requestedAtMs: 1,
    zoneDurationMs: 0,
    durationMs: 2,
    issuedAtMs: 3,
    stateStoreReachable: false,
    resync: true,
    cancellationSeq: 0,
    quarantined: [],
    servers: [],
  },
  deliveries: {
    kind: "deliveries",
    from: "n1",
    term: 8,
    deliveries: [
      {
        machine: "host-1",
        address: "10.1.0.1:9000",
        fencingToken: 2 ** 45 + 1,
        epoch: 1,
        commands: [
          { op: "start", jobId: "job-1", task: 99_999, attempt: 2 ** 50 },
          { op: "stop", jobId: "job-1", task: 3, attempt: 2, graceS: 2.5 },
          { op: "reap", jobId: "job-2", task: 0, attempt: 7 },
        ],
      },
    ],
  },
  "delivery results": {
    kind: "delivery results",
    from: "n2",
    term: 8,
    results: [
      { machine: "host-1", fencingToken: 5, status: null, neverSent: true, heartbeat: null },
      { machine: "host-2", fencingToken: 6, status: 409, neverSent: false, heartbeat: largeHeartbeat },
      { machine: "host-3", fencingToken: 7, status: 200, neverSent: false, heartbeat: variedHeartbeat },
    ],
  },
  isolated: { kind: "isolated", from: "n4", term: 10 },
};
