import type { MachineType, ReportedTask } from "../protocol/model.js";
import type { Attempt } from "./jobs.js";

export interface Amount {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A machine as its leader sees it. */
export class Machine {
  /** Booting: rented and never heard of. Up: has reported to this leader. Leaving: its deletion is asked for. */
  state: "booting" | "up" | "leaving" = "booting";
  address = "";
  session = 0;
  tick = 0;
  /** Highest token its worker says it has seen. */
  seenToken = 0;
  /** The token for the next command; only this leader uses it. */
  token: number;
  /** Highest token under which a start went out to it. */
  startToken = -1;
  /** The controller that its reports come through; null: not known. */
  server: string | null = null;
  /** The newest of its reports (its answers to commands count ticks as well). */
  reportSession = 0;
  reportTick = 0;
  /**
   * Token that it must show before it gets new work: hearing a machine is no proof that it hears us. A new leader
   * asks for one of its own term, so that a late copy of a report brings back no machine.
   */
  challenge: number;
  doubtedMs = -Infinity;
  probedMs = -Infinity;
  /** When we last learned that a report of it was answered, or that it began a session; its lease began no later. */
  lastAckMs = -Infinity;
  lastHeardMs: number;
  /** When a controller last acknowledged one of its reports: answers to commands renew no lease. */
  lastReportMs = -Infinity;
  /** Steady time at which the cloud takes it, when there is a notice. */
  takenAtMs: number | null = null;
  noticeNew = false;
  /** No new work; used when it is faulty or about to be given back. */
  cordoned = false;
  cordonReason = "";
  cordonUntilMs = Infinity;
  idleSinceMs: number | null;
  /** The cloud lists it as running, so it has come up once, though perhaps not for this leader. */
  listedUp = false;
  readonly attempts = new Set<Attempt>();
  /** Counts whatever changes its room or its images. */
  changes = 0;
  reported: ReportedTask[] = [];
  /** Images it has or is fetching, most recently used last; sizes in GB. */
  readonly images = new Map<string, number>();
  /** Images still on their way, and when they should be there. */
  readonly fetching = new Map<string, { gb: number; tasks: number }>();
  readonly used: Amount = { cpus: 0, gpus: 0, memoryGb: 0 };
  /** Failed starts in a row, by job. */
  failures = new Map<string, number>();

  constructor(
    readonly name: string,
    public type: MachineType | null,
    public zone: string,
    public spot: boolean,
    firstToken: number,
    public bornMs: number,
  ) {
    this.token = firstToken;
    this.challenge = firstToken;
    this.lastHeardMs = bornMs;
    this.idleSinceMs = bornMs;
  }

  /** It has shown that what we send reaches it. */
  get hears(): boolean {
    return this.seenToken >= this.challenge;
  }

  /** What we sent got no answer: it has to show a token that it can only have from us, from now on. */
  doubt(nowMs: number): void {
    if (this.hears) this.doubtedMs = nowMs;
    this.token = Math.max(this.token, this.startToken) + 1;
    this.challenge = this.token;
  }

  attach(attempt: Attempt): void {
    this.changes++;
    this.attempts.add(attempt);
    const spec = attempt.job.spec;
    this.used.cpus += spec.cpus;
    this.used.gpus += spec.gpus;
    this.used.memoryGb += spec.memoryGb;
    this.idleSinceMs = null;
    this.touchImage(spec.image, spec.imageGb);
  }

  detach(attempt: Attempt, nowMs: number): void {
    if (!this.attempts.delete(attempt)) return;
    this.changes++;
    const spec = attempt.job.spec;
    this.used.cpus -= spec.cpus;
    this.used.gpus -= spec.gpus;
    this.used.memoryGb -= spec.memoryGb;
    if (this.attempts.size === 0) {
      // Start from zero again, so that rounding errors don't pile up.
      this.used.cpus = this.used.gpus = this.used.memoryGb = 0;
      this.idleSinceMs = nowMs;
    }
  }

  /** True when nothing has to be fetched for the image. */
  hasImage(image: string): boolean {
    return this.images.has(image) && !this.fetching.has(image);
  }

  touchImage(image: string, gb: number): void {
    const known = this.images.has(image);
    this.images.delete(image);
    this.images.set(image, gb);
    if (!known) this.fetching.set(image, { gb, tasks: 1 });
    const limit = this.type?.cacheGb ?? Infinity;
    let total = 0;
    for (const size of this.images.values()) total += size;
    for (const [name, size] of this.images) {
      if (total <= limit || name === image) break;
      // An image in use stays; the worker drops the least recently used of the others.
      if ([...this.attempts].some((a) => a.job.spec.image === name)) continue;
      this.images.delete(name);
      this.fetching.delete(name);
      total -= size;
    }
  }

  imageReady(image: string): void {
    if (this.fetching.delete(image)) this.changes++;
  }

  /** No task waits for the image any more: the worker has given the fetch up. */
  imageGivenUp(image: string): void {
    if (this.fetching.delete(image)) this.images.delete(image);
    this.changes++;
  }

  /** A new session has forgotten tasks; images may be gone as well, but mostly aren't. */
  fetchBacklogGb(): number {
    let gb = 0;
    for (const f of this.fetching.values()) gb += f.gb;
    return gb;
  }
}
