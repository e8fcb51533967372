import type { JobSpec, MachineType } from "../../protocol/model.js";
import { asNonNegativeInteger } from "../../protocol/json.js";
import type { LiveJobCache } from "../../bookkeeping/liveJobCache.js";
import { decodeFinal, encodeHead, keys, type FinalRecord, type JobHead } from "../../bookkeeping/records.js";
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import {
  decodeSubmission,
  encodeJobPhase,
  encodeJobStatus,
  isJobId,
  type JobPhase,
} from "../../protocol/users.js";
import type { Team } from "../../settings/platform.js";
import type { Clock } from "../../transport/clock.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import { Actor } from "../../transport/actor.js";
import { log } from "../../transport/log.js";

type Reply = (answer: ServerResponse) => void;

type Message =
  | { kind: "submit"; value: unknown; reply: Reply }
  | { kind: "show"; id: string; reply: Reply }
  | { kind: "cancel"; id: string; reply: Reply }
  | { kind: "types"; types: MachineType[] }
  | { kind: "task counts"; jobs: { id: string; done: number; running: number }[] };

export interface AdmissionOptions {
  stateStore: StateStoreClient;
  clock: Clock;
  teams: Team[];
  valueBytes: number;
  liveJobs: LiveJobCache;
  /**
   * Called before a user is told that a job is cancelled whose tasks may still be somewhere: the leader has to know of
   * it (rule `ran_cancelled`). Of a job that is over nothing can be anywhere, so nobody need know.
   */
  onCancellationConfirmed: (id: string, cancelledAt: Date) => void;
}

/** Whether a job could ever run; null when it can. Pure. */
export function rejectionReason(spec: JobSpec, types: MachineType[], teams: Team[]): string | null {
  const team = teams.find((t) => t.name === spec.team);
  if (!team) return `unknown team ${spec.team}`;
  const fitting = types.filter(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      type.cpus >= spec.cpus &&
      type.gpus >= spec.gpus &&
      type.memoryGb >= spec.memoryGb,
  );
  if (fitting.length === 0) return "a task fits no allowed machine type";
  const atOnce = spec.kind === "array" ? 1 : spec.tasks;
  if (spec.kind !== "array" && spec.tasks > 1 && spec.spread) {
    // All of its tasks run at once, and one zone takes half of them.
    const zones = new Set(spec.zone === null ? fitting.flatMap((t) => t.zones) : [spec.zone]);
    if (spec.oneZone || zones.size < 2) return "its tasks must run in different zones, and may not";
  }
  const slack = 1e-6;
  if (spec.cpus * atOnce > team.maxCpus + slack) return `needs more cpus than ${team.name} may use`;
  if (spec.gpus * atOnce > team.maxGpus + slack) return `needs more gpus than ${team.name} may use`;
  return null;
}

const SUBMIT_MS = 4200;
const POLL_MS = 1700;
const RETRY_AFTER = { "Retry-After": "1" };
const FINALS_KEPT = 20_000;
const COUNTS_KEPT = 5000;

/**
 * Answers users, at any node. What is told is durable first (rules `forgotten`, `went_back`, `invented`):
 * "accepted" and "cancelled" are committed before they are said; a "not final" or a 404 comes from a fresh read.
 * Only what is final may be remembered.
 */
export class Admission extends Actor<Message> {
  private types: MachineType[] | null = null;
  private readonly finals = new Map<string, FinalRecord>();
  /** For display only. */
  private readonly counts = new Map<string, { done: number; running: number }>();

  constructor(private readonly options: AdmissionOptions) {
    super("admission");
  }

  protected override failed(message: Message, error: unknown): void {
    super.failed(message, error);
    if ("reply" in message)
      message.reply({ status: 500, body: { error: "internal error" }, headers: RETRY_AFTER });
  }

  protected override handle(message: Message): void {
    switch (message.kind) {
      case "types":
        this.types = message.types;
        break;
      case "task counts":
        for (const job of message.jobs) this.counts.set(job.id, job);
        // Jobs that nobody asked about here until they were over.
        while (this.counts.size > COUNTS_KEPT) this.counts.delete(this.counts.keys().next().value!);
        break;
      case "submit":
        this.run(this.submit(message.value), message.reply);
        break;
      case "show":
        this.run(this.show(message.id), message.reply);
        break;
      case "cancel":
        this.run(this.cancel(message.id), message.reply);
        break;
    }
  }

  private run(work: Promise<ServerResponse>, reply: Reply): void {
    work.then(reply, (error: unknown) => {
      log.error(`admission: ${String((error as Error)?.stack ?? error)}`);
      reply({ status: 500, body: { error: "internal error" }, headers: RETRY_AFTER });
    });
  }

  private later(why: string): ServerResponse {
    log.debug(() => `told a user to come back: ${why}`);
    return { status: 503, body: { error: why }, headers: RETRY_AFTER };
  }

  private async submit(value: unknown): Promise<ServerResponse> {
    const decoded = decodeSubmission(value);
    if (decoded.kind === "malformed") return { status: 400, body: { error: decoded.reason } };
    const { spec } = decoded;
    const deadline = this.options.clock.nowMs() + SUBMIT_MS;
    const final = this.finals.get(spec.id);
    if (final) return { status: 200, body: encodeJobPhase(spec.id, phaseOf(final)) };
    if (!this.types) {
      // A job that was accepted before must not be refused now, but neither can we look without knowing types.
      const known = await this.lookUp(spec.id, deadline);
      if (known !== "absent" && known !== "failed") return this.knownAnswer(spec.id, known);
      return this.later("machine types are not known yet");
    }
    const never = rejectionReason(spec, this.types, this.options.teams);
    const head: JobHead = { spec, acceptedAt: this.options.clock.wallTime(), cancelledAt: null };
    const record = encodeHead(head);
    const tooBig = Buffer.byteLength(JSON.stringify(record)) > this.options.valueBytes;
    if (never !== null || tooBig) {
      // Settings may have changed since it was accepted: what was accepted stays so (rule `forgotten`).
      const known = await this.lookUp(spec.id, deadline);
      if (known === "failed") return this.later("the state service does not answer");
      if (known !== "absent") return this.knownAnswer(spec.id, known);
      return never !== null
        ? { status: 422, body: { error: never } }
        : { status: 400, body: { error: "the description is too long to be kept" } };
    }
    const outcome = await this.options.stateStore.compareAndSwap(
      [
        { key: keys.head(spec.id), version: 0 },
        { key: keys.final(spec.id), version: 0 },
      ],
      [{ put: keys.head(spec.id), value: record }],
      deadline,
    );
    if (outcome.kind === "ok") {
      return { status: 201, body: encodeJobPhase(spec.id, "pending") };
    }
    if (outcome.kind === "refused") return this.later("the state service does not take changes");
    // Known already, or the outcome is unknown: only reading tells.
    const known = await this.lookUp(spec.id, Math.max(deadline, this.options.clock.nowMs() + 300));
    if (known === "failed" || known === "absent") return this.later("the outcome is not known yet");
    return this.knownAnswer(spec.id, known);
  }

  private knownAnswer(id: string, known: { head: JobHead } | { final: FinalRecord }): ServerResponse {
    if ("final" in known) return { status: 200, body: encodeJobPhase(id, phaseOf(known.final)) };
    return { status: 200, body: encodeJobPhase(id, this.headPhase(known.head)) };
  }

  private headPhase(head: JobHead): JobPhase {
    const { id } = head.spec;
    if (head.cancelledAt === null) return this.livePhase(id);
    this.options.onCancellationConfirmed(id, head.cancelledAt);
    return "cancelled";
  }

  private livePhase(id: string): JobPhase {
    return (this.counts.get(id)?.running ?? 0) > 0 ? "running" : "pending";
  }

  /**
   * A fresh read. Jobs move from live to final in one transaction and never back, so a job that was not live at a
   * moment after the question, and has no final key after that, had not been accepted when we began.
   */
  private async lookUp(
    id: string,
    deadlineMs: number,
  ): Promise<{ head: JobHead; version: number } | { final: FinalRecord } | "absent" | "failed"> {
    const remembered = this.finals.get(id);
    if (remembered) return { final: remembered };
    if (!(await this.options.liveJobs.refresh(deadlineMs))) return "failed";
    const live = this.options.liveJobs.liveJob(id);
    if (live) return live;
    const over = await this.options.stateStore.get(keys.final(id), deadlineMs);
    if (over.kind === "failed") return "failed";
    if (over.kind === "found") {
      const final = decodeFinal(over.item.value);
      if (!final) return "failed";
      this.counts.delete(id);
      this.finals.set(id, final);
      if (this.finals.size > FINALS_KEPT) this.finals.delete(this.finals.keys().next().value!);
      return { final };
    }
    // A live record that can't be read is not absent.
    const unreadable = await this.options.stateStore.get(keys.head(id), deadlineMs);
    return unreadable.kind === "absent" ? "absent" : "failed";
  }

  private async show(id: string): Promise<ServerResponse> {
    if (!isJobId(id)) return { status: 404, body: { error: "no such job" } };
    const known = await this.lookUp(id, this.options.clock.nowMs() + POLL_MS);
    if (known === "failed") return this.later("the state service does not answer");
    if (known === "absent") return { status: 404, body: { error: "no such job" } };
    if ("final" in known) {
      const { final } = known;
      return {
        status: 200,
        body: encodeJobStatus(id, phaseOf(final), final.isCancelled ? 0 : final.tasks, 0),
      };
    }
    const count = this.counts.get(id) ?? { done: 0, running: 0 };
    const phase = this.headPhase(known.head);
    return {
      status: 200,
      body: encodeJobStatus(
        id,
        phase,
        asNonNegativeInteger(count.done) ?? 0,
        asNonNegativeInteger(count.running) ?? 0,
      ),
    };
  }

  private async cancel(id: string): Promise<ServerResponse> {
    if (!isJobId(id)) return { status: 404, body: { error: "no such job" } };
    const deadline = this.options.clock.nowMs() + SUBMIT_MS;
    for (let round = 0; round < 4; round++) {
      const known = await this.lookUp(id, deadline);
      if (known === "failed") return this.later("the state service does not answer");
      if (known === "absent") return { status: 404, body: { error: "no such job" } };
      if ("final" in known) return { status: 200, body: encodeJobPhase(id, phaseOf(known.final)) };
      if (known.head.cancelledAt !== null) return this.knownAnswer(id, known);
      const head: JobHead = { ...known.head, cancelledAt: this.options.clock.wallTime() };
      const outcome = await this.options.stateStore.compareAndSwap(
        [{ key: keys.head(id), version: known.version }],
        [{ put: keys.head(id), value: encodeHead(head) }],
        deadline,
      );
      if (outcome.kind === "ok") return this.knownAnswer(id, { head });
      if (outcome.kind === "refused") return this.later("the state service does not take changes");
      // A conflict or no answer: look again.
    }
    return this.later("the job keeps changing");
  }
}

function phaseOf(final: FinalRecord): JobPhase {
  return final.isCancelled ? "cancelled" : "done";
}
