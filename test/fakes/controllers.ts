/**
 * The controllers of a simulated region: real `Controller` objects on the simulated clock and network, each in a
 * simulated process that can crash, freeze and restart.
 */
import { Controller } from "../../src/controller/controller.js";
import { encodeHello } from "../../src/protocol/peers/codec.js";
import { defaultOperatorSettings } from "../../src/settings/operator.js";
import type { Clock } from "../../src/transport/clock.js";
import type { HttpCaller, ClientResponse } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimNet, SimRequest } from "./net.js";
import { controllerAddress, platformFor, type RegionOptions } from "./region.js";
import type { SimStateStore } from "./stateStore.js";

/** Processes the frames of one peer link. A returned string is the reason why the link has to be closed. */
type FrameHandler = (frame: Buffer) => string | null;

/** Dependencies of the simulated controllers. */
export interface SimControllersOptions {
  clock: SimClock;
  net: SimNet;
  random: () => number;
  stateStore: SimStateStore;
  region: RegionOptions;
}

/** One controller process. A restart after a crash creates a new object. */
class ControllerProcess {
  isAlive = true;
  /** Time until which the process handles no input and runs no timer, although its clock advances. */
  frozenUntilMs = 0;
  readonly controller: Controller;
  /** Links from other controllers, by the sender's incarnation. */
  private readonly links = new Map<string, FrameHandler>();

  constructor(
    readonly name: string,
    readonly incarnation: string,
    private readonly options: SimControllersOptions,
    send: (from: ControllerProcess, peer: string, frame: Buffer) => boolean,
  ) {
    const caller = this.createCaller();
    this.controller = new Controller(platformFor(name, options.region), defaultOperatorSettings, {
      clock: this.createClock(),
      stateStoreHttp: caller,
      cloudHttp: caller,
      workerHttp: caller,
      peerSender: { send: (peer, frame) => send(this, peer, frame) },
      incarnation,
      random: options.random,
    });
  }

  /** Runs the callback immediately or, if the process is frozen, when the freeze ends. */
  whenRunning(run: () => void): void {
    const waitMs = this.frozenUntilMs - this.options.clock.nowMs();
    if (waitMs > 0) this.options.clock.after(waitMs, () => this.whenRunning(run));
    else run();
  }

  /** Passes on a frame from another controller's process; the first frame of a sender opens a link with a hello. */
  receiveFrame(from: ControllerProcess, frame: Buffer): void {
    let link = this.links.get(from.incarnation);
    if (!link) {
      link = this.controller.acceptPeerLink();
      link(encodeHello(from.name));
      this.links.set(from.incarnation, link);
    }
    const refusal = link(frame);
    if (refusal !== null) throw new Error(`peer link from ${from.name} was rejected: ${refusal}`);
  }

  serve(request: SimRequest, respond: (reply: ClientResponse) => void): void {
    const { method, path } = request;
    const body = Buffer.from(request.body === undefined ? "" : JSON.stringify(request.body));
    this.whenRunning(() => {
      if (!this.isAlive) return;
      this.controller.handleRequest({ method, path, body }, (reply) => {
        if (this.isAlive) respond({ status: reply.status, body: reply.body });
      });
    });
  }

  private createCaller(): HttpCaller {
    const caller = this.options.net.caller(controllerAddress(this.name), () => this.isAlive);
    return {
      call: (...request) =>
        new Promise((resolve, reject) => {
          caller.call(...request).then(
            (reply) => this.whenRunning(() => resolve(reply)),
            (error: Error) => this.whenRunning(() => reject(error)),
          );
        }),
    };
  }

  private createClock(): Clock {
    const { clock } = this.options;
    return {
      nowMs: () => clock.nowMs(),
      wallTime: () => clock.wallTime(),
      after: (delayMs, run) => {
        let isCancelled = false;
        const timer = clock.after(delayMs, () => this.whenRunning(() => !isCancelled && run()));
        return {
          cancel: () => {
            isCancelled = true;
            timer.cancel();
          },
        };
      },
    };
  }
}

/** The controllers of a region; each is identified by its name. */
export class SimControllers {
  /** Time until which the controllers have no links to each other and frames that they send are lost. */
  peerLinksDownUntilMs = 0;
  /** Called with the body of each heartbeat that reaches a live controller process, before it is processed. */
  onHeartbeat: (body: unknown) => void = () => undefined;
  private readonly processes = new Map<string, ControllerProcess>();
  private incarnationCount = 0;
  /** Time until which a machine's heartbeats are dropped, by machine id. */
  private readonly dropHeartbeatsUntilMs = new Map<string, number>();

  constructor(private readonly options: SimControllersOptions) {}

  /** Names of all controllers, including those that are down. */
  get names(): string[] {
    return this.options.region.controllers;
  }

  /** Name of the leader according to the state store, or null if there is none. */
  get leader(): string | null {
    const hold = this.options.stateStore.entries.get("lead/hold")?.value as { node: string } | undefined;
    return hold?.node ?? null;
  }

  /** Name of the leader or, if there is none, of the first controller. */
  get leaderOrFirst(): string {
    return this.leader ?? this.names[0]!;
  }

  /** Names of all controllers except the leader, including those that are down. */
  get followers(): string[] {
    const { leader } = this;
    return this.names.filter((name) => name !== leader);
  }

  /** Names of the controllers whose process is alive, including frozen ones. */
  get running(): string[] {
    return this.names.filter((name) => this.processes.get(name)!.isAlive);
  }

  startAll(): void {
    for (const name of this.names) this.start(name);
  }

  /** Ends the controller's process and starts a new one after `restartMs`. */
  crash(name: string, restartDelayMs: number): void {
    const process = this.processes.get(name);
    if (!process?.isAlive) return;
    process.isAlive = false;
    process.controller.stop();
    this.options.net.close(controllerAddress(name));
    this.reportPeerRefused(name);
    this.options.clock.after(restartDelayMs, () => this.start(name));
  }

  /** Suspends the process for `durationMs` while its clock advances; it processes the input of that time afterwards. */
  freeze(name: string, durationMs: number): void {
    const process = this.processes.get(name);
    if (process?.isAlive) process.frozenUntilMs = this.options.clock.nowMs() + durationMs;
  }

  /** Drops the machine's heartbeats at every controller for `durationMs`; commands still reach the machine. */
  dropHeartbeats(machineId: string, durationMs: number): void {
    this.dropHeartbeatsUntilMs.set(machineId, this.options.clock.nowMs() + durationMs);
  }

  /**
   * Signals to all other controllers that connections to this one were refused, whether or not it is running. Each is
   * told that it has `linksUp` links to further controllers; by default, one to each that is running.
   */
  reportPeerRefused(name: string, linksUp?: number): void {
    for (const [observer, process] of this.processes) {
      if (observer === name) continue;
      this.options.net.transmit(controllerAddress(name), controllerAddress(observer), () => {
        if (!process.isAlive) return;
        const others = this.running.filter((other) => other !== observer && other !== name);
        process.controller.onPeerConnectionRefused(name, linksUp ?? others.length);
      });
    }
  }

  /** Returns the controller object of the current process. */
  controllerOf(name: string): Controller {
    return this.processes.get(name)!.controller;
  }

  /** Opens a new link to the controller, whose sender is not identified yet. */
  openPeerLink(name: string): FrameHandler {
    return this.controllerOf(name).acceptPeerLink();
  }

  private start(name: string): void {
    const incarnation = `incarnation-${++this.incarnationCount}`;
    const process = new ControllerProcess(name, incarnation, this.options, (from, peer, frame) =>
      this.sendFrame(from, peer, frame),
    );
    this.processes.set(name, process);
    this.options.net.listen(controllerAddress(name), (request, respond) => {
      if (!process.isAlive || this.isDroppedHeartbeat(request)) return;
      if (isHeartbeat(request)) this.onHeartbeat(request.body);
      process.serve(request, respond);
    });
    process.controller.start();
  }

  private sendFrame(from: ControllerProcess, peer: string, frame: Buffer): boolean {
    const { clock, net } = this.options;
    if (!from.isAlive || clock.nowMs() < this.peerLinksDownUntilMs) return false;
    // The sender may reuse its buffer after the call.
    const copy = Buffer.from(frame);
    net.transmit(controllerAddress(from.name), controllerAddress(peer), () => {
      const receiver = this.processes.get(peer);
      receiver?.whenRunning(() => receiver.isAlive && receiver.receiveFrame(from, copy));
    });
    return true;
  }

  private isDroppedHeartbeat(request: SimRequest): boolean {
    if (!isHeartbeat(request)) return false;
    const { tuft: machineId } = (request.body ?? {}) as { tuft?: string };
    return (this.dropHeartbeatsUntilMs.get(machineId ?? "") ?? 0) > this.options.clock.nowMs();
  }
}

function isHeartbeat(request: SimRequest): boolean {
  return request.path === "/checkin";
}
