/**
 * A fake worker, by its published protocol: it sends heartbeats, carries out commands of the highest fencing token,
 * stops everything when its lease expires, and waits with a gang's tasks until all members have their image.
 */
import type { HttpCaller, ClientResponse } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimMachine } from "./cloud.js";
import { jobIdOf } from "./job.js";
import type { SimNet, SimRequest } from "./net.js";

/** Why a task ended, in the names of the workers' interface. */
export type TaskExitCause = "done" | "stopped" | "peers" | "error" | "in_use";

/** One attempt of a task on a worker. */
export interface SimTask {
  /** `job/index`. */
  name: string;
  attempt: number;
  /** "gathering": it waits for the other members of its gang. */
  phase: "fetching" | "gathering" | "running" | "exited";
  cause?: TaskExitCause;
}

/** A task and the worker that it is on. */
export interface PlacedTask {
  worker: SimWorker;
  task: SimTask;
}

/** What a worker asks of its world, and what it reports to the checkers of the rules. */
export interface WorkerEvents {
  /** Seconds that the task runs; null: until it is stopped. */
  runS: (taskName: string) => number | null;
  gangSize: (jobId: string) => number;
  /** A task starts to fetch its image. */
  onTaskStart: (worker: SimWorker, task: SimTask) => void;
  /** A task has ended, for whatever cause; its state is still readable. */
  onTaskEnd: (task: SimTask) => void;
  /** All members of this gang attempt that have their image, on any worker. */
  gangMembers: (jobId: string, attempt: number) => PlacedTask[];
  /** Does the task fail when it starts there? */
  failsTask: (worker: SimWorker, taskName: string) => boolean;
}

/** A controller that takes heartbeats. */
export interface ControllerAddress {
  name: string;
  address: string;
}

/** What a fake worker needs from its world. */
export interface SimWorkerOptions {
  clock: SimClock;
  net: SimNet;
  random: () => number;
  controllers: ControllerAddress[];
  heartbeatS: number;
  leaseS: number;
  events: WorkerEvents;
}

/** A command on the wire. */
interface WireCommand {
  verb: string;
  spore: string;
  sprout: number;
}

/** How often the worker looks whether its lease has expired or a heartbeat is due. */
const CHECK_EVERY_MS = 20;
/** Least time between two heartbeats that a change of a task brings about. */
const MIN_HEARTBEAT_GAP_MS = 500;
/** A response that takes longer than this does not extend the lease. */
const RESPONSE_TIMEOUT_MS = 4000;
/** After a failed heartbeat, the next controller is tried this much later. */
const RETRY_MS = 1000;
const FETCH_IMAGE_MS = 700;

/** A worker process on its machine, from boot to `kill`. */
export class SimWorker {
  /** By name and attempt; a task that exited stays until its removal is commanded. */
  readonly tasks = new Map<string, SimTask>();
  /** Results of completed tasks, which outlive the lease. */
  private readonly doneTasks = new Set<string>();
  private readonly http: HttpCaller;
  private epoch = 1;
  private tick = 0;
  private fencingToken = 0;
  private controllerIndex: number;
  private isAlive = true;
  private hungUntilMs = -Infinity;
  private commandsLostUntilMs = -Infinity;
  private isHeartbeatPending = false;
  private nextHeartbeatMs = 0;
  private lastHeartbeatMs = -Infinity;
  /** The lease counts from the sending of the last heartbeat that got a response. */
  private leaseStartMs: number;

  constructor(
    readonly machine: SimMachine,
    private readonly options: SimWorkerOptions,
  ) {
    const { clock, net, random, controllers } = options;
    this.leaseStartMs = clock.nowMs();
    this.http = net.caller(machine.address, () => this.isAlive);
    this.controllerIndex = Math.floor(random() * controllers.length);
    net.listen(machine.address, (request, respond) => {
      if (this.nowMs() < this.commandsLostUntilMs) return;
      this.whenResponsive(() => respond(this.serve(request)));
    });
    this.checkPeriodically();
  }

  /** The machine stops, with all that runs on it. */
  kill(): void {
    this.isAlive = false;
    this.options.net.close(this.machine.address);
    this.endAllTasks();
  }

  /** Commands sent straight to it are lost for that time; its heartbeats and their responses are not. */
  dropCommands(forMs: number): void {
    this.commandsLostUntilMs = this.nowMs() + forMs;
  }

  /** It does nothing for that time, though its lease runs on; then it goes on with all that came in meanwhile. */
  hang(forMs: number): void {
    this.hungUntilMs = this.nowMs() + forMs;
  }

  private nowMs(): number {
    return this.options.clock.nowMs();
  }

  private whenResponsive(run: () => void): void {
    const waitMs = this.hungUntilMs - this.nowMs();
    if (waitMs > 0) this.options.clock.after(waitMs, () => this.whenResponsive(run));
    else if (this.isAlive) run();
  }

  private endAllTasks(): void {
    for (const task of this.tasks.values()) {
      if (task.phase !== "exited") this.options.events.onTaskEnd(task);
    }
    this.tasks.clear();
  }

  private checkLease(): void {
    if (this.nowMs() - this.leaseStartMs <= this.options.leaseS * 1000) return;
    this.endAllTasks();
    this.epoch++;
    this.leaseStartMs = this.nowMs();
  }

  private checkPeriodically(): void {
    if (!this.isAlive) return;
    this.options.clock.after(CHECK_EVERY_MS, () => this.checkPeriodically());
    // Its lease expires while it hangs, too: it may go on only within its lease.
    this.checkLease();
    if (this.nowMs() < this.hungUntilMs) return;
    if (!this.isHeartbeatPending && this.nowMs() >= this.nextHeartbeatMs) this.sendHeartbeat();
  }

  private heartbeatSoon(): void {
    const earliestMs = Math.max(this.nowMs(), this.lastHeartbeatMs + MIN_HEARTBEAT_GAP_MS);
    this.nextHeartbeatMs = Math.min(this.nextHeartbeatMs, earliestMs);
  }

  /** The heartbeat's body, in the names of the workers' interface. */
  private encodeHeartbeat(): Record<string, unknown> {
    return {
      tuft: this.machine.id,
      address: this.machine.address,
      breed: this.machine.type,
      patch: this.machine.zone,
      windfall: this.machine.isSpot,
      bloom: this.epoch,
      tick: ++this.tick,
      crook: this.fencingToken,
      warningS: null,
      spores: [...this.tasks.values()].map(({ name, attempt, phase, cause }) => ({
        spore: name,
        sprout: attempt,
        phase,
        cause,
      })),
    };
  }

  private sendHeartbeat(): void {
    const sentMs = this.nowMs();
    const { epoch } = this;
    this.isHeartbeatPending = true;
    this.lastHeartbeatMs = sentMs;
    this.nextHeartbeatMs = sentMs + this.options.heartbeatS * 1000;
    const { address } = this.options.controllers[this.controllerIndex]!;
    this.http.call(address, "POST", "/checkin", this.encodeHeartbeat(), RESPONSE_TIMEOUT_MS).then(
      (reply) =>
        this.whenResponsive(() => {
          this.isHeartbeatPending = false;
          this.onHeartbeatResponse(reply, sentMs, epoch);
        }),
      () =>
        this.whenResponsive(() => {
          this.isHeartbeatPending = false;
          this.tryNextController();
        }),
    );
  }

  private tryNextController(): void {
    this.controllerIndex = (this.controllerIndex + 1) % this.options.controllers.length;
    this.nextHeartbeatMs = this.nowMs() + RETRY_MS;
  }

  private onHeartbeatResponse(reply: ClientResponse, sentMs: number, sentInEpoch: number): void {
    const body = (reply.body ?? {}) as Record<string, unknown>;
    if (reply.status === 421) {
      this.followRedirect(body.steward);
      return;
    }
    if (reply.status !== 200) {
      this.tryNextController();
      return;
    }
    this.checkLease();
    if (sentInEpoch !== this.epoch || this.nowMs() - sentMs > RESPONSE_TIMEOUT_MS) return;
    if (typeof body.crook !== "number" || body.crook < this.fencingToken) return;
    this.leaseStartMs = Math.max(this.leaseStartMs, sentMs);
    this.execute(body.crook, body.bids as WireCommand[]);
  }

  private followRedirect(leader: unknown): void {
    const index = this.options.controllers.findIndex(({ name }) => name === leader);
    if (index < 0 || index === this.controllerIndex) {
      this.tryNextController();
      return;
    }
    this.controllerIndex = index;
    this.nextHeartbeatMs = this.nowMs();
  }

  /** Commands sent straight to it, and requests for its state. */
  private serve(request: SimRequest): ClientResponse {
    this.checkLease();
    if (request.path !== "/commands") return { status: 200, body: this.encodeHeartbeat() };
    const { crook: token, bloom: epoch, bids } = request.body as Record<string, unknown>;
    if (typeof token !== "number" || typeof epoch !== "number") return { status: 400, body: {} };
    if (token < this.fencingToken || epoch !== this.epoch) {
      return { status: 409, body: this.encodeHeartbeat() };
    }
    this.execute(token, bids as WireCommand[]);
    return { status: 200, body: this.encodeHeartbeat() };
  }

  private execute(fencingToken: number, commands: WireCommand[]): void {
    if (fencingToken > this.fencingToken) {
      this.fencingToken = fencingToken;
      this.heartbeatSoon();
    }
    for (const command of commands) {
      const taskName = String(command.spore);
      const attempt = Number(command.sprout);
      const key = taskKey(taskName, attempt);
      const task = this.tasks.get(key);
      if (command.verb === "start" && !task)
        this.startTask(key, { name: taskName, attempt, phase: "fetching" });
      else if (command.verb === "stop" && task && task.phase !== "exited") this.exitTask(key, "stopped");
      else if (command.verb === "reap" && task?.phase === "exited") this.tasks.delete(key);
    }
  }

  private startTask(key: string, task: SimTask): void {
    this.heartbeatSoon();
    const isInUse = [...this.tasks.values()].some(
      (other) => other.name === task.name && other.phase !== "exited",
    );
    if (isInUse) {
      this.tasks.set(key, { ...task, phase: "exited", cause: "in_use" });
      return;
    }
    this.tasks.set(key, task);
    this.options.events.onTaskStart(this, task);
    const { epoch } = this;
    this.options.clock.after(FETCH_IMAGE_MS, () =>
      this.whenResponsive(() => {
        if (this.isCurrent(key, task) && epoch === this.epoch) this.onImageReady(key, task);
      }),
    );
  }

  private isCurrent(key: string, task: SimTask): boolean {
    return this.isAlive && this.tasks.get(key) === task && task.phase !== "exited";
  }

  private onImageReady(key: string, task: SimTask): void {
    const { events } = this.options;
    this.heartbeatSoon();
    if (this.doneTasks.has(task.name)) {
      this.exitTask(key, "done");
      return;
    }
    if (events.failsTask(this, task.name)) {
      this.exitTask(key, "error");
      return;
    }
    task.phase = "gathering";
    const jobId = jobIdOf(task.name);
    const members = events.gangMembers(jobId, task.attempt);
    if (members.length < events.gangSize(jobId)) return;
    for (const member of members) member.worker.runTask(member.task);
  }

  private runTask(task: SimTask): void {
    const key = taskKey(task.name, task.attempt);
    task.phase = "running";
    this.heartbeatSoon();
    const runS = this.options.events.runS(task.name);
    if (runS === null) return;
    this.options.clock.after(runS * 1000, () =>
      this.whenResponsive(() => {
        if (this.isCurrent(key, task) && task.phase === "running") this.completeTask(key, task);
      }),
    );
  }

  /** A gang completes together; one that has lost a member doesn't. */
  private completeTask(key: string, task: SimTask): void {
    const { events } = this.options;
    const jobId = jobIdOf(task.name);
    const size = events.gangSize(jobId);
    const members =
      size === 1 ? [{ worker: this as SimWorker, task }] : events.gangMembers(jobId, task.attempt);
    if (members.length < size) {
      this.exitTask(key, "peers");
      return;
    }
    for (const member of members) {
      member.worker.exitTask(taskKey(member.task.name, member.task.attempt), "done");
    }
  }

  private exitTask(key: string, cause: TaskExitCause): void {
    const task = this.tasks.get(key);
    if (!task) return;
    task.phase = "exited";
    task.cause = cause;
    if (cause === "done") this.doneTasks.add(task.name);
    this.options.events.onTaskEnd(task);
    this.heartbeatSoon();
  }
}

function taskKey(name: string, attempt: number): string {
  return `${name}#${attempt}`;
}
