import type { MachineType, TaskStatus } from "../protocol/model.js";
import type { Attempt } from "./jobs.js";

export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A machine as its leader sees it. */
export class Machine {
  /** Booting: rented and never heard of. Up: has reported to this leader. Leaving: its deletion is asked for. */
  state: "booting" | "up" | "leaving" = "booting";
  address = "";
  epoch = 0;
  tick = 0;
  /** Highest token its worker says it has seen. */
  seenToken = 0;
  /** The token for the next command; only this leader uses it. */
  fencingToken: number;
  /** Highest token under which a start went out to it. */
  lastStartToken = -1;
  /** The controller that its reports come through; null: not known. */
  heartbeatServer: string | null = null;
  /** The newest of its reports (its answers to commands count ticks as well). */
  heartbeatEpoch = 0;
  heartbeatTick = 0;
  /**
   * Token that it must show before it gets new work: hearing a machine is no proof that it hears us. A new leader
   * asks for one of its own term, so that a late copy of a report brings back no machine.
   */
  requiredToken: number;
  unreachableSinceMs = -Infinity;
  probedMs = -Infinity;
  /** When we last learned that a report of it was answered, or that it began a session; its lease began no later. */
  lastAckMs = -Infinity;
  lastContactMs: number;
  /** When a controller last acknowledged one of its reports: answers to commands renew no lease. */
  lastHeartbeatMs = -Infinity;
  /** Steady time at which the cloud takes it, when there is a notice. */
  interruptionAtMs: number | null = null;
  interruptionNoticeIsNew = false;
  /** No new work; used when it is faulty or about to be given back. */
  cordoned = false;
  cordonReason = "";
  cordonUntilMs = Infinity;
  idleSinceMs: number | null;
  /** The cloud lists it as running, so it has come up once, though perhaps not for this leader. */
  listedAsRunning = false;
  readonly attempts = new Set<Attempt>();
  /** Counts whatever changes its room or its images. */
  revision = 0;
  reportedTasks: TaskStatus[] = [];
  /** Images it has or is fetching, most recently used last; sizes in GB. */
  readonly images = new Map<string, number>();
  /** Images still on their way, and when they should be there. */
  readonly fetching = new Map<string, { gb: number; tasks: number }>();
  readonly used: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };
  /** Failed starts in a row, by job. */
  failures = new Map<string, number>();

  constructor(
    readonly name: string,
    public type: MachineType | null,
    public zone: string,
    public spot: boolean,
    firstToken: number,
    public createdMs: number,
  ) {
    this.fencingToken = firstToken;
    this.requiredToken = firstToken;
    this.lastContactMs = createdMs;
    this.idleSinceMs = createdMs;
  }

  /** It has shown that what we send reaches it. */
  get isReachable(): boolean {
    return this.seenToken >= this.requiredToken;
  }

  /** What we sent got no answer: it has to show a token that it can only have from us, from now on. */
  requireNewToken(nowMs: number): void {
    if (this.isReachable) this.unreachableSinceMs = nowMs;
    this.fencingToken = Math.max(this.fencingToken, this.lastStartToken) + 1;
    this.requiredToken = this.fencingToken;
  }

  attach(attempt: Attempt): void {
    this.revision++;
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
    this.revision++;
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
    if (this.fetching.delete(image)) this.revision++;
  }

  /** No task waits for the image any more: the worker has given the fetch up. */
  imageFetchAbandoned(image: string): void {
    if (this.fetching.delete(image)) this.images.delete(image);
    this.revision++;
  }

  /** A new session has forgotten tasks; images may be gone as well, but mostly aren't. */
  fetchBacklogGb(): number {
    let gb = 0;
    for (const f of this.fetching.values()) gb += f.gb;
    return gb;
  }
}
