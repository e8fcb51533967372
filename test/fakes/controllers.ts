/**
 * The controllers of a simulated region: real `Controller` objects on the simulated clock and network, each in a
 * process that can crash, freeze and restart.
 */
import { Controller } from "../../src/controller/controller.js";
import { encodeHello } from "../../src/protocol/peers/codec.js";
import { defaultOperatorSettings } from "../../src/settings/operator.js";
import type { Clock } from "../../src/transport/clock.js";
import type { HttpCaller, ClientResponse } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimNet, SimRequest } from "./net.js";
import { controllerAddress, platformOf, type RegionOptions } from "./region.js";
import type { SimStateStore } from "./stateStore.js";

/** Takes the frames of one link; a string says why the link must be closed. */
type FrameHandler = (frame: Buffer) => string | null;

/** What the controllers need from their world. */
export interface SimControllersOptions {
  clock: SimClock;
  net: SimNet;
  random: () => number;
  stateStore: SimStateStore;
  region: RegionOptions;
}

/** A controller's process: what is left of one when it crashes is not used again. */
class ControllerProcess {
  isAlive = true;
  /** Until then nothing that arrives is processed and no timer runs, though its clock runs on. */
  frozenUntilMs = 0;
  readonly controller: Controller;
  /** Links from other controllers, by their sender's incarnation. */
  private readonly links = new Map<string, FrameHandler>();

  constructor(
    readonly name: string,
    readonly incarnation: string,
    private readonly options: SimControllersOptions,
    send: (from: ControllerProcess, peer: string, frame: Buffer) => boolean,
  ) {
    const caller = this.createCaller();
    this.controller = new Controller(platformOf(name, options.region), defaultOperatorSettings, {
      clock: this.createClock(),
      stateStoreHttp: caller,
      cloudHttp: caller,
      workerHttp: caller,
      peerPort: { send: (peer, frame) => send(this, peer, frame) },
      incarnation,
      random: options.random,
    });
  }

  /** Runs at once or, when the process is frozen, as it wakes. */
  whenRunning(run: () => void): void {
    const waitMs = this.frozenUntilMs - this.options.clock.nowMs();
    if (waitMs > 0) this.options.clock.after(waitMs, () => this.whenRunning(run));
    else run();
  }

  /** A frame from another controller's process; a link's frames come in their order, the greeting first. */
  receiveFrame(from: ControllerProcess, frame: Buffer): void {
    let link = this.links.get(from.incarnation);
    if (!link) {
      link = this.controller.acceptPeerLink();
      link(encodeHello(from.name));
      this.links.set(from.incarnation, link);
    }
    const refusal = link(frame);
    if (refusal !== null) throw new Error(`${from.name} was refused: ${refusal}`);
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

/** All controllers of a region, by their names. */
export class SimControllers {
  /** Until then controllers have no links to each other: what they would send is lost. */
  peerLinksDownUntilMs = 0;
  /** Called with the body of each heartbeat that a controller receives. */
  onHeartbeat: (body: unknown) => void = () => undefined;
  private readonly processes = new Map<string, ControllerProcess>();
  private incarnations = 0;
  /** Workers whose heartbeats are ignored, and until when. */
  private readonly ignoredUntilMs = new Map<string, number>();

  constructor(private readonly options: SimControllersOptions) {}

  /** All names, also of those that are down. */
  get names(): string[] {
    return this.options.region.controllers;
  }

  /** Who holds the leadership, as the state store has it; null: nobody. */
  get leader(): string | null {
    const hold = this.options.stateStore.entries.get("lead/hold")?.value as { node: string } | undefined;
    return hold?.node ?? null;
  }

  /** The leader or, when there is none, the first controller. */
  get leaderOrFirst(): string {
    return this.leader ?? this.names[0]!;
  }

  get followers(): string[] {
    const { leader } = this;
    return this.names.filter((name) => name !== leader);
  }

  get running(): string[] {
    return this.names.filter((name) => this.processes.get(name)!.isAlive);
  }

  startAll(): void {
    for (const name of this.names) this.start(name);
  }

  /** The controller's process ends and is started again after that time. */
  crash(name: string, restartMs: number): void {
    const process = this.processes.get(name);
    if (!process?.isAlive) return;
    process.isAlive = false;
    process.controller.stop();
    this.options.net.close(controllerAddress(name));
    this.reportPeerRefused(name);
    this.options.clock.after(restartMs, () => this.start(name));
  }

  /** Stops the process for that time while its clock runs on; what came in meanwhile it gets when it wakes. */
  freeze(name: string, forMs: number): void {
    const process = this.processes.get(name);
    if (process?.isAlive) process.frozenUntilMs = this.options.clock.nowMs() + forMs;
  }

  /** That worker's heartbeats get no response anywhere, though commands reach it. */
  dropHeartbeatResponses(machineId: string, forMs: number): void {
    this.ignoredUntilMs.set(machineId, this.options.clock.nowMs() + forMs);
  }

  /**
   * The others see connections to it refused, rightly or not. They count `linksUp` links to further controllers;
   * without it, one to each that runs.
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

  /** The controller object of the present process. */
  controllerOf(name: string): Controller {
    return this.processes.get(name)!.controller;
  }

  /** A new link to that controller, from an unknown sender. */
  openPeerLink(name: string): FrameHandler {
    return this.controllerOf(name).acceptPeerLink();
  }

  private start(name: string): void {
    const incarnation = `incarnation-${++this.incarnations}`;
    const process = new ControllerProcess(name, incarnation, this.options, (from, peer, frame) =>
      this.sendFrame(from, peer, frame),
    );
    this.processes.set(name, process);
    this.options.net.listen(controllerAddress(name), (request, respond) => {
      if (!process.isAlive || this.isIgnoredHeartbeat(request)) return;
      if (isHeartbeat(request)) this.onHeartbeat(request.body);
      process.serve(request, respond);
    });
    process.controller.start();
  }

  private sendFrame(from: ControllerProcess, peer: string, frame: Buffer): boolean {
    const { clock, net } = this.options;
    if (!from.isAlive || clock.nowMs() < this.peerLinksDownUntilMs) return false;
    // The sender may reuse its buffer.
    const copy = Buffer.from(frame);
    net.transmit(controllerAddress(from.name), controllerAddress(peer), () => {
      const receiver = this.processes.get(peer);
      receiver?.whenRunning(() => receiver.isAlive && receiver.receiveFrame(from, copy));
    });
    return true;
  }

  private isIgnoredHeartbeat(request: SimRequest): boolean {
    if (!isHeartbeat(request)) return false;
    const { tuft: machineId } = (request.body ?? {}) as { tuft?: string };
    return (this.ignoredUntilMs.get(machineId ?? "") ?? 0) > this.options.clock.nowMs();
  }
}

function isHeartbeat(request: SimRequest): boolean {
  return request.path === "/checkin";
}
