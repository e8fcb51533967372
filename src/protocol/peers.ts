import { Reader, Writer } from "./bytes.js";
import type {
  Command,
  Errand,
  ErrandResult,
  ExitCause,
  Heard,
  Report,
  ReportedTask,
  SeenReport,
  TaskPhase,
} from "./model.js";

/** Controllers of another version are refused: their frames may mean something else. */
export const PEER_VERSION = 4;
const MAGIC = "lichenturn";

/** A cancellation that a user was told of, and the time of day just before it was committed. */
export interface ToldCancel {
  id: string;
  at: Date;
}

/** What a controller tells the leader of the workers that it serves; at the same time its request for a new grant. */
export interface Serving {
  kind: "serving";
  from: string;
  term: number;
  /** Different in each process. */
  life: number;
  /** One more in each frame of this life and term: a gap means that acknowledgements went unheard. */
  seq: number;
  /** The leader's stamp in the last grant that came in: all acknowledgements up to then are told by now. */
  echoMs: number;
  /** The leader's stamp in the last grant that asked for everything: from this frame on it is told again. */
  retoldMs: number;
  /** Our own clock; comes back in the grant. */
  askMs: number;
  machines: number;
  lagMs: number;
  /** Workers that were acknowledged with nothing new to say. */
  heard: Heard[];
  /** Acknowledged reports that say something new. */
  reports: SeenReport[];
  /** Cancellations that this process has told users of, less those that the leader has taken over. */
  told: ToldCancel[];
  /** Number of the last of them, counted in each process. */
  toldSeq: number;
  /** With it the leader knows of all that this process has told up to `echoMs`. */
  toldAll: boolean;
}

/** The leader lets a controller acknowledge reports for a while. */
export interface Grant {
  kind: "grant";
  from: string;
  term: number;
  life: number;
  askMs: number;
  forMs: number;
  /** For workers of the asker's own zone, while the asker is cut off in company; 0: no longer than the rest. */
  homeMs: number;
  stampMs: number;
  /** The state service serves the leader: a node that it refuses is alone with that. */
  served: boolean;
  /** Something went unheard: tell everything again. */
  resync: boolean;
  /** The cancellations told by this process up to that one are known here. */
  toldSeq: number;
  /** Machines whose reports may not be acknowledged: a cancelled task there has not shown that it is gone. */
  barred: string[];
  homes: { node: string; machines: number; lagMs: number }[];
}

/** What controllers say to each other, byte by byte: kind, sender, then the kind's own fields. */
export type PeerMessage =
  /** Opens every link. */
  | { kind: "hello"; from: string; version: number }
  /** May the leader of this term go on acknowledging reports? */
  | { kind: "vouch?"; from: string; term: number; ask: number }
  | { kind: "vouch"; from: string; term: number; ask: number; yes: boolean }
  /** I lead this term: vouch for no earlier one from now on. */
  | { kind: "confirm?"; from: string; term: number }
  | { kind: "confirm"; from: string; term: number }
  /** Counts for display only; whatever is not named has not changed. */
  | { kind: "tally"; from: string; term: number; jobs: { id: string; done: number; running: number }[] }
  | Serving
  | Grant
  /** I have no right to acknowledge reports any more, and hear from no leader of this term. */
  | { kind: "alone"; from: string; term: number }
  /** Carry these commands to workers. */
  | { kind: "errands"; from: string; term: number; errands: Errand[] }
  | { kind: "errands back"; from: string; term: number; results: ErrandResult[] };

const KINDS: PeerMessage["kind"][] = [
  "hello",
  "vouch?",
  "vouch",
  "confirm?",
  "confirm",
  "tally",
  "serving",
  "grant",
  "errands",
  "errands back",
  "alone",
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

function writeTask(w: Writer, t: ReportedTask): void {
  w.text(t.jobId).number(t.task).big(t.attempt).byte(PHASES.indexOf(t.phase)).byte(CAUSES.indexOf(t.cause));
  w.byte(t.saved ? 1 : 0);
}

function readTask(r: Reader): ReportedTask {
  return {
    jobId: r.text(),
    task: r.number(),
    attempt: r.big(),
    phase: pick(PHASES, r.byte()),
    cause: pick(CAUSES, r.byte()),
    saved: r.flag(),
  };
}

function writeReport(w: Writer, x: Report): void {
  w.text(x.machine)
    .text(x.address)
    .text(x.type)
    .text(x.zone)
    .byte(x.spot ? 1 : 0);
  w.big(x.session).big(x.tick).big(x.token);
  w.byte(x.noticeS === null ? 0 : 1);
  if (x.noticeS !== null) w.number(Math.round(x.noticeS * 1000));
  w.number(x.tasks.length);
  for (const t of x.tasks) writeTask(w, t);
}

function readReport(r: Reader): Report {
  return {
    machine: r.text(),
    address: r.text(),
    type: r.text(),
    zone: r.text(),
    spot: r.flag(),
    session: r.big(),
    tick: r.big(),
    token: r.big(),
    noticeS: r.flag() ? r.number() / 1000 : null,
    tasks: r.list(readTask),
  };
}

function writeCommand(w: Writer, c: Command): void {
  w.byte(OPS.indexOf(c.op)).text(c.jobId).number(c.task).big(c.attempt);
  if (c.op === "stop") w.number(Math.round(c.graceS * 1000));
}

function readCommand(r: Reader): Command {
  const op = pick(OPS, r.byte());
  const base = { jobId: r.text(), task: r.number(), attempt: r.big() };
  return op === "stop" ? { op, ...base, graceS: r.number() / 1000 } : { op, ...base };
}

export function encodePeer(message: PeerMessage): Buffer {
  const w = new Writer().byte(KINDS.indexOf(message.kind)).text(message.from);
  switch (message.kind) {
    case "hello":
      w.text(MAGIC).number(message.version);
      break;
    case "vouch?":
      w.number(message.term).number(message.ask);
      break;
    case "vouch":
      w.number(message.term)
        .number(message.ask)
        .byte(message.yes ? 1 : 0);
      break;
    case "confirm?":
    case "confirm":
    case "alone":
      w.number(message.term);
      break;
    case "tally":
      w.number(message.term).number(message.jobs.length);
      for (const job of message.jobs) w.text(job.id).number(job.done).number(job.running);
      break;
    case "serving":
      w.number(message.term).number(message.life).number(message.seq);
      w.number(message.echoMs)
        .number(message.retoldMs)
        .number(message.askMs)
        .number(message.machines)
        .number(message.lagMs);
      w.number(message.heard.length);
      for (const h of message.heard) w.text(h.machine).big(h.session).big(h.tick);
      w.number(message.reports.length);
      for (const x of message.reports) writeReport(w.number(x.ageMs), x.report);
      w.number(message.told.length);
      for (const t of message.told) w.text(t.id).number(t.at.getTime());
      w.number(message.toldSeq).byte(message.toldAll ? 1 : 0);
      break;
    case "grant":
      w.number(message.term).number(message.life).number(message.askMs);
      w.number(message.forMs).number(message.homeMs).number(message.stampMs);
      w.byte(message.served ? 1 : 0)
        .byte(message.resync ? 1 : 0)
        .number(message.toldSeq)
        .number(message.barred.length);
      for (const machine of message.barred) w.text(machine);
      w.number(message.homes.length);
      for (const h of message.homes) w.text(h.node).number(h.machines).number(h.lagMs);
      break;
    case "errands":
      w.number(message.term).number(message.errands.length);
      for (const e of message.errands) {
        w.text(e.machine).text(e.address).big(e.token).big(e.session).number(e.commands.length);
        for (const c of e.commands) writeCommand(w, c);
      }
      break;
    case "errands back":
      w.number(message.term).number(message.results.length);
      for (const x of message.results) {
        w.text(x.machine)
          .big(x.token)
          .number(x.status ?? 0)
          .byte(x.neverSent ? 1 : 0);
        w.byte(x.report ? 1 : 0);
        if (x.report) writeReport(w, x.report);
      }
      break;
  }
  return w.done();
}

/** Null for anything that isn't exactly one of our messages. */
export function decodePeer(frame: Buffer): PeerMessage | null {
  try {
    const r = new Reader(frame);
    const kind = KINDS[r.byte()];
    const from = r.text();
    const message = kind === undefined ? null : read(kind, from, r);
    r.end();
    return message;
  } catch {
    return null;
  }
}

function read(kind: PeerMessage["kind"], from: string, r: Reader): PeerMessage | null {
  switch (kind) {
    case "hello":
      return r.text() === MAGIC ? { kind, from, version: r.number() } : null;
    case "vouch?":
      return { kind, from, term: r.number(), ask: r.number() };
    case "vouch":
      return { kind, from, term: r.number(), ask: r.number(), yes: r.flag() };
    case "confirm?":
    case "confirm":
    case "alone":
      return { kind, from, term: r.number() };
    case "tally":
      return {
        kind,
        from,
        term: r.number(),
        jobs: r.list(() => ({ id: r.text(), done: r.number(), running: r.number() })),
      };
    case "serving":
      return {
        kind,
        from,
        term: r.number(),
        life: r.number(),
        seq: r.number(),
        echoMs: r.number(),
        retoldMs: r.number(),
        askMs: r.number(),
        machines: r.number(),
        lagMs: r.number(),
        heard: r.list(() => ({ machine: r.text(), session: r.big(), tick: r.big() })),
        reports: r.list(() => ({ ageMs: r.number(), report: readReport(r) })),
        told: r.list(() => ({ id: r.text(), at: new Date(r.number()) })),
        toldSeq: r.number(),
        toldAll: r.flag(),
      };
    case "grant":
      return {
        kind,
        from,
        term: r.number(),
        life: r.number(),
        askMs: r.number(),
        forMs: r.number(),
        homeMs: r.number(),
        stampMs: r.number(),
        served: r.flag(),
        resync: r.flag(),
        toldSeq: r.number(),
        barred: r.list(() => r.text()),
        homes: r.list(() => ({ node: r.text(), machines: r.number(), lagMs: r.number() })),
      };
    case "errands":
      return {
        kind,
        from,
        term: r.number(),
        errands: r.list(() => ({
          machine: r.text(),
          address: r.text(),
          token: r.big(),
          session: r.big(),
          commands: r.list(readCommand),
        })),
      };
    case "errands back":
      return {
        kind,
        from,
        term: r.number(),
        results: r.list(() => ({
          machine: r.text(),
          token: r.big(),
          status: r.number() || null,
          neverSent: r.flag(),
          report: r.flag() ? readReport(r) : null,
        })),
      };
  }
}
