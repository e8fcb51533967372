/**
 * A fake worker, by its published protocol: it sends heartbeats, carries out commands of the highest fencing token, and
 * stops everything when its lease expires.
 */
import type { HttpCaller, ClientResponse } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimMachine } from "./cloud.js";
import type { SimNet, SimRequest } from "./net.js";
import { SimTaskRunner, type SimTask, type TaskHost, type WireCommand } from "./taskRunner.js";

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

/** How often the worker looks whether its lease has expired or a heartbeat is due. */
const CHECK_EVERY_MS = 20;
/** Least time between two heartbeats that a change of a task brings about. */
const MIN_HEARTBEAT_GAP_MS = 500;
/** A response that takes longer than this does not extend the lease. */
const RESPONSE_TIMEOUT_MS = 4000;
/** After a failed heartbeat, the next controller is tried this much later. */
const RETRY_MS = 1000;

/** A worker process on its machine, from boot to `kill`. */
export class SimWorker {
  readonly taskRunner: SimTaskRunner;
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
    this.taskRunner = new SimTaskRunner(this.createTaskHost());
    net.listen(machine.address, (request, respond) => {
      if (this.nowMs() < this.commandsLostUntilMs) return;
      this.whenResponsive(() => respond(this.serve(request)));
    });
    this.checkPeriodically();
  }

  /** By name and attempt, with those that exited and whose removal was not commanded yet. */
  get tasks(): ReadonlyMap<string, SimTask> {
    return this.taskRunner.tasks;
  }

  /** The machine stops, with all that runs on it. */
  kill(): void {
    this.isAlive = false;
    this.options.net.close(this.machine.address);
    this.taskRunner.endAll();
  }

  /** Commands sent straight to it are lost for that time; its heartbeats and their responses are not. */
  dropCommands(forMs: number): void {
    this.commandsLostUntilMs = this.nowMs() + forMs;
  }

  /** It does nothing for that time, though its lease runs on; then it goes on with all that came in meanwhile. */
  hang(forMs: number): void {
    this.hungUntilMs = this.nowMs() + forMs;
  }

  private createTaskHost(): TaskHost {
    const { clock, events } = this.options;
    return {
      clock,
      isAlive: () => this.isAlive,
      epoch: () => this.epoch,
      whenResponsive: (run) => this.whenResponsive(run),
      onChange: () => this.heartbeatSoon(),
      onTaskStart: (task) => events.onTaskStart(this, task),
      onTaskEnd: events.onTaskEnd,
      runS: events.runS,
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
    this.taskRunner.execute(commands);
  }
}
