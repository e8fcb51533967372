/**
 * A fake worker that implements the published worker protocol: it sends heartbeats, executes commands that carry at
 * least the highest fencing token it has seen, and stops all tasks when its lease expires.
 */
import type { HttpCaller, ClientResponse } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimMachine } from "./cloud.js";
import type { SimNet, SimRequest } from "./net.js";
import { SimTaskRunner, type SimTask, type TaskHost, type WireCommand } from "./taskRunner.js";

/** A task and the worker that runs it. */
export interface PlacedTask {
  worker: SimWorker;
  task: SimTask;
}

/** A worker's queries about jobs and its notifications to the rule checkers. */
export interface WorkerEvents {
  /** Returns the task's run time, in seconds; null if it runs until it is stopped. */
  runTimeS: (taskName: string) => number | null;
  /** Returns the number of members of the job's gang; 1 if the job is not a gang. */
  gangSize: (jobId: string) => number;
  /** Called when a task starts to fetch its image. */
  onTaskStart: (worker: SimWorker, task: SimTask) => void;
  /** Called when a task has ended for any cause; its state can still be read. */
  onTaskEnd: (task: SimTask) => void;
  /** Returns the members of the gang attempt that have fetched their image, on all workers. */
  gangMembers: (jobId: string, attempt: number) => PlacedTask[];
  /** Returns whether the task fails on the worker once its image is fetched. */
  failsTask: (worker: SimWorker, taskName: string) => boolean;
}

/** A controller and the address to which it takes heartbeats. */
export interface ControllerAddress {
  name: string;
  address: string;
}

/** Dependencies and settings of a fake worker. */
export interface SimWorkerOptions {
  clock: SimClock;
  net: SimNet;
  random: () => number;
  controllers: ControllerAddress[];
  heartbeatS: number;
  leaseS: number;
  events: WorkerEvents;
}

/** Interval between checks for an expired lease or a heartbeat that is due. */
const CHECK_INTERVAL_MS = 20;
/** Minimum time between the previous heartbeat and one that a task's state change triggers. */
const MIN_HEARTBEAT_GAP_MS = 500;
/** Timeout of a heartbeat; a response that takes longer does not renew the lease. */
const RESPONSE_TIMEOUT_MS = 4000;
/** Delay after a failed heartbeat until the next controller is tried. */
const RETRY_DELAY_MS = 1000;

/** The worker process of a machine, from its boot until `kill`. */
export class SimWorker {
  readonly taskRunner: SimTaskRunner;
  private readonly http: HttpCaller;
  private epoch = 1;
  private tick = 0;
  private fencingToken = 0;
  private controllerIndex: number;
  private isAlive = true;
  private hungUntilMs = -Infinity;
  private dropCommandsUntilMs = -Infinity;
  private isHeartbeatPending = false;
  private nextHeartbeatMs = 0;
  private lastHeartbeatMs = -Infinity;
  /** Start of the current lease: the time at which the last acknowledged heartbeat was sent. */
  private leaseStartMs: number;

  constructor(
    readonly machine: SimMachine,
    private readonly options: SimWorkerOptions,
  ) {
    const { clock, net, random, controllers } = options;
    this.leaseStartMs = clock.nowMs();
    this.http = net.caller(machine.address, () => this.isAlive);
    this.controllerIndex = Math.floor(random() * controllers.length);
    this.taskRunner = new SimTaskRunner(this.createTaskHost());
    net.listen(machine.address, (request, respond) => {
      if (this.nowMs() < this.dropCommandsUntilMs) return;
      this.whenResponsive(() => respond(this.serve(request)));
    });
    this.checkPeriodically();
  }

  /** Tasks by name and attempt, including exited ones whose removal was not commanded yet. */
  get tasks(): ReadonlyMap<string, SimTask> {
    return this.taskRunner.tasks;
  }

  /** Stops the machine and ends all its tasks. */
  kill(): void {
    this.isAlive = false;
    this.options.net.close(this.machine.address);
    this.taskRunner.endAll();
  }

  /**
   * Drops directly sent commands for `durationMs`; heartbeats and the commands in their responses are still exchanged.
   */
  dropCommands(durationMs: number): void {
    this.dropCommandsUntilMs = this.nowMs() + durationMs;
  }

  /**
   * Suspends the worker for `durationMs` while its lease continues to run; it processes the input of that time
   * afterwards.
   */
  hang(durationMs: number): void {
    this.hungUntilMs = this.nowMs() + durationMs;
  }

  private createTaskHost(): TaskHost {
    const { clock, events } = this.options;
    return {
      clock,
      isAlive: () => this.isAlive,
      epoch: () => this.epoch,
      whenResponsive: (run) => this.whenResponsive(run),
      onChange: () => this.scheduleEarlyHeartbeat(),
      onTaskStart: (task) => events.onTaskStart(this, task),
      onTaskEnd: events.onTaskEnd,
      runTimeS: events.runTimeS,
      failsTask: (taskName) => events.failsTask(this, taskName),
      gangSize: events.gangSize,
      gangMembers: (jobId, attempt) =>
        events.gangMembers(jobId, attempt).map(({ worker, task }) => ({ runner: worker.taskRunner, task })),
    };
  }

  private nowMs(): number {
    return this.options.clock.nowMs();
  }

  private whenResponsive(run: () => void): void {
    const waitMs = this.hungUntilMs - this.nowMs();
    if (waitMs > 0) this.options.clock.after(waitMs, () => this.whenResponsive(run));
    else if (this.isAlive) run();
  }

  private checkLease(): void {
    if (this.nowMs() - this.leaseStartMs <= this.options.leaseS * 1000) return;
    this.taskRunner.endAll();
    this.epoch++;
    this.leaseStartMs = this.nowMs();
  }

  private checkPeriodically(): void {
    if (!this.isAlive) return;
    this.options.clock.after(CHECK_INTERVAL_MS, () => this.checkPeriodically());
    // The lease can expire while the worker hangs, so it is checked first: tasks may continue only within the lease.
    this.checkLease();
    if (this.nowMs() < this.hungUntilMs) return;
    if (!this.isHeartbeatPending && this.nowMs() >= this.nextHeartbeatMs) this.sendHeartbeat();
  }

  private scheduleEarlyHeartbeat(): void {
    const earliestMs = Math.max(this.nowMs(), this.lastHeartbeatMs + MIN_HEARTBEAT_GAP_MS);
    this.nextHeartbeatMs = Math.min(this.nextHeartbeatMs, earliestMs);
  }

  /** Returns the heartbeat's body, with the field names of the worker API. */
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
    this.nextHeartbeatMs = this.nowMs() + RETRY_DELAY_MS;
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

  /** Handles directly sent commands and requests for the worker's state. */
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
      this.scheduleEarlyHeartbeat();
    }
    this.taskRunner.execute(commands);
  }
}
