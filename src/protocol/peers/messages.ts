import { Reader, Writer } from "../bytes.js";
import type {
  Command,
  CommandDelivery,
  DeliveryResult,
  ExitCause,
  UnchangedHeartbeat,
  Heartbeat,
  TaskStatus,
  ReceivedHeartbeat,
  TaskPhase,
} from "../model.js";

/** Controllers of another version are refused: their frames may mean something else. */
export const PEER_PROTOCOL_VERSION = 4;
const MAGIC = "lichenturn";

/** A cancellation that a user was told of, and the time of day just before it was committed. */
export interface ConfirmedCancellation {
  id: string;
  cancelledAt: Date;
}

/** What a controller tells the leader of the workers that it serves; at the same time its request for a new grant. */
export interface HeartbeatServerUpdate {
  kind: "heartbeat server update";
  from: string;
  term: number;
  /** Different in each process. */
  incarnation: number;
  /** One more in each frame of this life and term: a gap means that acknowledgements went unheard. */
  sequence: number;
  /** The leader's stamp in the last grant that came in: all acknowledgements up to then are told by now. */
  lastGrantIssuedAtMs: number;
  /** The leader's stamp in the last grant that asked for everything: from this frame on it is told again. */
  lastResyncIssuedAtMs: number;
  /** Our own clock; comes back in the grant. */
  requestedAtMs: number;
  machines: number;
  lagMs: number;
  /** Workers that were acknowledged with nothing new to say. */
  unchanged: UnchangedHeartbeat[];
  /** Acknowledged reports that say something new. */
  heartbeats: ReceivedHeartbeat[];
  /** Cancellations that this process has told users of, less those that the leader has taken over. */
  cancellations: ConfirmedCancellation[];
  /** Number of the last of them, counted in each process. */
  cancellationSeq: number;
  /** With it the leader knows of all that this process has told up to `echoedStampMs`. */
  cancellationsComplete: boolean;
}

/** The leader lets a controller acknowledge reports for a while. */
export interface Grant {
  kind: "grant";
  from: string;
  term: number;
  incarnation: number;
  requestedAtMs: number;
  durationMs: number;
  /** For workers of the asker's own zone, while the asker is cut off in company; 0: no longer than the rest. */
  zoneDurationMs: number;
  issuedAtMs: number;
  /** The state service serves the leader: a node that it refuses is alone with that. */
  stateStoreReachable: boolean;
  /** Something went unheard: tell everything again. */
  resync: boolean;
  /** The cancellations told by this process up to that one are known here. */
  cancellationSeq: number;
  /** Machines whose reports may not be acknowledged: a cancelled task there has not shown that it is gone. */
  quarantined: string[];
  servers: { node: string; machines: number; lagMs: number }[];
}

/** How far a job is, for display only. */
export interface TaskCounts {
  id: string;
  done: number;
  running: number;
}

/** What controllers say to each other, byte by byte: kind, sender, then the kind's own fields. */
export type PeerMessage =
  /** Opens every link. */
  | { kind: "hello"; from: string; version: number }
  /** May the leader of this term go on acknowledging reports? */
  | { kind: "extension request"; from: string; term: number; requestId: number }
  | { kind: "extension vote"; from: string; term: number; requestId: number; isGranted: boolean }
  /** I lead this term: confirm no extension of an earlier one from now on. */
  | { kind: "term announcement"; from: string; term: number }
  | { kind: "term acknowledgement"; from: string; term: number }
  /** Counts for display only; whatever is not named has not changed. */
  | { kind: "task counts"; from: string; term: number; jobs: TaskCounts[] }
  | HeartbeatServerUpdate
  | Grant
  /** I have no right to acknowledge reports any more, and hear from no leader of this term. */
  | { kind: "isolated"; from: string; term: number }
  /** Carry these commands to workers. */
  | { kind: "deliveries"; from: string; term: number; deliveries: CommandDelivery[] }
  | { kind: "delivery results"; from: string; term: number; results: DeliveryResult[] };

const KINDS: PeerMessage["kind"][] = [
  "hello",
  "extension request",
  "extension vote",
  "term announcement",
  "term acknowledgement",
  "task counts",
  "heartbeat server update",
  "grant",
  "deliveries",
  "delivery results",
  "isolated",
];
const PHASES: TaskPhase[] = ["fetching", "waiting", "running", "saving", "exited"];
const CAUSES: (ExitCause | null)[] = [
  null,
  "done",
  "stopped",
  "peers",
  "incomplete",
  "error",
  "no_room",
  "in_use",
  "unknown",
  "other",
];
const OPS: Command["op"][] = ["start", "stop", "reap"];

/** Written into a frame with its place in a table; read back only when the table has it. */
function pick<T>(table: T[], index: number): T {
  if (index >= table.length) throw new RangeError("no such word");
  return table[index]!;
}

function writeTask(writer: Writer, task: TaskStatus): void {
  writer
    .text(task.jobId)
    .number(task.task)
    .big(task.attempt)
    .byte(PHASES.indexOf(task.phase))
    .byte(CAUSES.indexOf(task.cause));
  writer.byte(task.saved ? 1 : 0);
}

function readTask(reader: Reader): TaskStatus {
  return {
    jobId: reader.text(),
    task: reader.number(),
    attempt: reader.big(),
    phase: pick(PHASES, reader.byte()),
    cause: pick(CAUSES, reader.byte()),
    saved: reader.flag(),
  };
}

function writeHeartbeat(writer: Writer, report: Heartbeat): void {
  writer
    .text(report.machine)
    .text(report.address)
    .text(report.type)
    .text(report.zone)
    .byte(report.spot ? 1 : 0);
  writer.big(report.epoch).big(report.tick).big(report.fencingToken);
  writer.byte(report.interruptionNoticeS === null ? 0 : 1);
  if (report.interruptionNoticeS !== null) writer.number(Math.round(report.interruptionNoticeS * 1000));
  writer.number(report.tasks.length);
  for (const t of report.tasks) writeTask(writer, t);
}

function readHeartbeat(reader: Reader): Heartbeat {
  return {
    machine: reader.text(),
    address: reader.text(),
    type: reader.text(),
    zone: reader.text(),
    spot: reader.flag(),
    epoch: reader.big(),
    tick: reader.big(),
    fencingToken: reader.big(),
    interruptionNoticeS: reader.flag() ? reader.number() / 1000 : null,
    tasks: reader.list(readTask),
  };
}

function writeCommand(writer: Writer, command: Command): void {
  writer.byte(OPS.indexOf(command.op)).text(command.jobId).number(command.task).big(command.attempt);
  if (command.op === "stop") writer.number(Math.round(command.graceS * 1000));
}

function readCommand(reader: Reader): Command {
  const op = pick(OPS, reader.byte());
  const base = { jobId: reader.text(), task: reader.number(), attempt: reader.big() };
  return op === "stop" ? { op, ...base, graceS: reader.number() / 1000 } : { op, ...base };
}

export function encodePeerMessage(message: PeerMessage): Buffer {
  const writer = new Writer().byte(KINDS.indexOf(message.kind)).text(message.from);
  switch (message.kind) {
    case "hello":
      writer.text(MAGIC).number(message.version);
      break;
    case "extension request":
      writer.number(message.term).number(message.requestId);
      break;
    case "extension vote":
      writer
        .number(message.term)
        .number(message.requestId)
        .byte(message.isGranted ? 1 : 0);
      break;
    case "term announcement":
    case "term acknowledgement":
    case "isolated":
      writer.number(message.term);
      break;
    case "task counts":
      writer.number(message.term).number(message.jobs.length);
      for (const job of message.jobs) writer.text(job.id).number(job.done).number(job.running);
      break;
    case "heartbeat server update":
      writer.number(message.term).number(message.incarnation).number(message.sequence);
      writer
        .number(message.lastGrantIssuedAtMs)
        .number(message.lastResyncIssuedAtMs)
        .number(message.requestedAtMs)
        .number(message.machines)
        .number(message.lagMs);
      writer.number(message.unchanged.length);
      for (const h of message.unchanged) writer.text(h.machine).big(h.epoch).big(h.tick);
      writer.number(message.heartbeats.length);
      for (const x of message.heartbeats) writeHeartbeat(writer.number(x.ageMs), x.heartbeat);
      writer.number(message.cancellations.length);
      for (const t of message.cancellations) writer.text(t.id).number(t.cancelledAt.getTime());
      writer.number(message.cancellationSeq).byte(message.cancellationsComplete ? 1 : 0);
      break;
    case "grant":
      writer.number(message.term).number(message.incarnation).number(message.requestedAtMs);
      writer.number(message.durationMs).number(message.zoneDurationMs).number(message.issuedAtMs);
      writer
        .byte(message.stateStoreReachable ? 1 : 0)
        .byte(message.resync ? 1 : 0)
        .number(message.cancellationSeq)
        .number(message.quarantined.length);
      for (const machine of message.quarantined) writer.text(machine);
      writer.number(message.servers.length);
      for (const h of message.servers) writer.text(h.node).number(h.machines).number(h.lagMs);
      break;
    case "deliveries":
      writer.number(message.term).number(message.deliveries.length);
      for (const delivery of message.deliveries) {
        writer
          .text(delivery.machine)
          .text(delivery.address)
          .big(delivery.fencingToken)
          .big(delivery.epoch)
          .number(delivery.commands.length);
        for (const c of delivery.commands) writeCommand(writer, c);
      }
      break;
    case "delivery results":
      writer.number(message.term).number(message.results.length);
      for (const result of message.results) {
        writer
          .text(result.machine)
          .big(result.fencingToken)
          .number(result.status ?? 0)
          .byte(result.neverSent ? 1 : 0);
        writer.byte(result.heartbeat ? 1 : 0);
        if (result.heartbeat) writeHeartbeat(writer, result.heartbeat);
      }
      break;
  }
  return writer.done();
}

/** Null for anything that isn't exactly one of our messages. */
export function decodePeerMessage(frame: Buffer): PeerMessage | null {
  try {
    const reader = new Reader(frame);
    const kind = KINDS[reader.byte()];
    const from = reader.text();
    const message = kind === undefined ? null : read(kind, from, reader);
    reader.end();
    return message;
  } catch {
    return null;
  }
}

function read(kind: PeerMessage["kind"], from: string, reader: Reader): PeerMessage | null {
  switch (kind) {
    case "hello":
      return reader.text() === MAGIC ? { kind, from, version: reader.number() } : null;
    case "extension request":
      return { kind, from, term: reader.number(), requestId: reader.number() };
    case "extension vote":
      return { kind, from, term: reader.number(), requestId: reader.number(), isGranted: reader.flag() };
    case "term announcement":
    case "term acknowledgement":
    case "isolated":
      return { kind, from, term: reader.number() };
    case "task counts":
      return {
        kind,
        from,
        term: reader.number(),
        jobs: reader.list(() => ({ id: reader.text(), done: reader.number(), running: reader.number() })),
      };
    case "heartbeat server update":
      return {
        kind,
        from,
        term: reader.number(),
        incarnation: reader.number(),
        sequence: reader.number(),
        lastGrantIssuedAtMs: reader.number(),
        lastResyncIssuedAtMs: reader.number(),
        requestedAtMs: reader.number(),
        machines: reader.number(),
        lagMs: reader.number(),
        unchanged: reader.list(() => ({ machine: reader.text(), epoch: reader.big(), tick: reader.big() })),
        heartbeats: reader.list(() => ({ ageMs: reader.number(), heartbeat: readHeartbeat(reader) })),
        cancellations: reader.list(() => ({ id: reader.text(), cancelledAt: new Date(reader.number()) })),
        cancellationSeq: reader.number(),
        cancellationsComplete: reader.flag(),
      };
    case "grant":
      return {
        kind,
        from,
        term: reader.number(),
        incarnation: reader.number(),
        requestedAtMs: reader.number(),
        durationMs: reader.number(),
        zoneDurationMs: reader.number(),
        issuedAtMs: reader.number(),
        stateStoreReachable: reader.flag(),
        resync: reader.flag(),
        cancellationSeq: reader.number(),
        quarantined: reader.list(() => reader.text()),
        servers: reader.list(() => ({
          node: reader.text(),
          machines: reader.number(),
          lagMs: reader.number(),
        })),
      };
    case "deliveries":
      return {
        kind,
        from,
        term: reader.number(),
        deliveries: reader.list(() => ({
          machine: reader.text(),
          address: reader.text(),
          fencingToken: reader.big(),
          epoch: reader.big(),
          commands: reader.list(readCommand),
        })),
      };
    case "delivery results":
      return {
        kind,
        from,
        term: reader.number(),
        results: reader.list(() => ({
          machine: reader.text(),
          fencingToken: reader.big(),
          status: reader.number() || null,
          neverSent: reader.flag(),
          heartbeat: reader.flag() ? readHeartbeat(reader) : null,
        })),
      };
  }
}
