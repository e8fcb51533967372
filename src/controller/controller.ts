/** One controller: its parts, wired to each other and to whatever stands for the outside. */
import { LiveJobCache } from "../bookkeeping/liveJobCache.js";
import { StateStoreClient } from "../bookkeeping/stateStoreClient.js";
import { Admission } from "../coordination/admission/admission.js";
import { RequestLimiter } from "../coordination/admission/requestLimiter.js";
import { CommandRouter } from "../coordination/commands/commandRouter.js";
import { CommandSender } from "../coordination/commands/commandSender.js";
import { HeartbeatServer } from "../coordination/heartbeats/heartbeatServer.js";
import { Leader } from "../coordination/leader/leader.js";
import { Elector } from "../coordination/leadership/elector.js";
import { CloudClient } from "../coordination/provisioning/cloudClient.js";
import type { LeadershipChange } from "../coordination/term/leadershipLease.js";
import type { MachineType } from "../protocol/model.js";
import { encodePeerMessage } from "../protocol/peers/codec.js";
import type { PeerMessage, TaskCounts } from "../protocol/peers/messages.js";
import type { Operator } from "../settings/operator.js";
import type { Platform } from "../settings/platform.js";
import type { Clock } from "../transport/clock.js";
import { EventLoopLagMeter } from "../transport/eventLoopLag.js";
import type { HttpCaller } from "../transport/httpClient.js";
import type { ServerRequest, ServerResponse } from "../transport/httpServer.js";
import type { PeerPort } from "../transport/peerLinks.js";
import { HttpRoutes } from "./httpRoutes.js";
import { MachineTypesFetcher } from "./machineTypesFetcher.js";
import { PeerDispatch, type FrameHandler } from "./peerDispatch.js";
import { Readiness } from "./readiness.js";

/** A leadership lease shorter than this would be lost to a slow response now and then. */
const LEADERSHIP_LEASE_MS = 4000;
/** A controller that doesn't lead looks this often at who does. */
const PROBE_MS = 500;
/** A worker has so long to answer commands. */
const COMMAND_TIMEOUT_MS = 3000;
/** Reads of live jobs are no closer together than this. */
const MIN_READ_GAP_MS = 250;
/** The share of the state store's rate that all controllers' reads of live jobs take at most. */
const LIVE_JOB_READ_SHARE = 0.45;
/** Confirmed cancellations are kept so much longer than any task of theirs can last. */
const CANCELLATION_MARGIN_S = 10;
/** Incarnations on the wire are below this. */
const INCARNATION_BOUND = 2 ** 47;

/** What a controller uses of the world around it. */
export interface ControllerEnvironment {
  clock: Clock;
  stateStoreHttp: HttpCaller;
  cloudHttp: HttpCaller;
  workerHttp: HttpCaller;
  peerPort: PeerPort;
  /** Different in each process. */
  incarnation: string;
  /** Between 0 and 1. */
  random: () => number;
}

/** One controller. Its parts reach each other through callbacks, so that none of them knows all others. */
export class Controller {
  private readonly eventLoopLag: EventLoopLagMeter;
  private readonly stateStore: StateStoreClient;
  private readonly readiness: Readiness;
  private readonly admission: Admission;
  private readonly cloud: CloudClient;
  private readonly commandRouter: CommandRouter;
  private readonly leader: Leader;
  private readonly heartbeatServer: HeartbeatServer;
  private readonly elector: Elector;
  private readonly machineTypesFetcher: MachineTypesFetcher;
  private readonly httpRoutes: HttpRoutes;
  private readonly peerDispatch: PeerDispatch;
  private readonly peerNames: string[];
  /** Resolves once heartbeats may be acknowledged here. */
  private readonly firstGrant: Promise<void>;

  constructor(
    private readonly platform: Platform,
    operator: Operator,
    private readonly environment: ControllerEnvironment,
  ) {
    const { clock } = environment;
    this.peerNames = platform.peers.map((peer) => peer.name);
    this.eventLoopLag = new EventLoopLagMeter(clock);
    this.stateStore = this.buildStateStore();
    this.readiness = new Readiness(this.stateStore);
    this.admission = this.buildAdmission();
    this.cloud = this.buildCloudClient();
    this.commandRouter = this.buildCommandRouter();
    this.leader = this.buildLeader(operator);
    let onFirstGrant = (): void => undefined;
    this.firstGrant = new Promise((resolve) => (onFirstGrant = resolve));
    this.heartbeatServer = this.buildHeartbeatServer(onFirstGrant);
    this.elector = this.buildElector();
    this.machineTypesFetcher = new MachineTypesFetcher(this.stateStore, clock, (types) =>
      this.leader.tell({ kind: "cloud", event: { kind: "types", types, isStored: true } }),
    );
    this.httpRoutes = this.buildHttpRoutes();
    this.peerDispatch = this.buildPeerDispatch();
  }

  /** Starts every part; the controller answers requests from now on, though it is not ready before it knows enough. */
  start(): void {
    this.eventLoopLag.start();
    this.elector.start();
    this.leader.start();
    this.heartbeatServer.start();
    this.machineTypesFetcher.start();
  }

  /** Ends every timer. */
  stop(): void {
    this.machineTypesFetcher.stop();
    this.eventLoopLag.stop();
    this.elector.stop();
    this.leader.stop();
    this.heartbeatServer.stop();
    this.cloud.tell({ kind: "stop" });
  }

  /** Resolves once heartbeats may be acknowledged here, or after that time. */
  waitForFirstGrant(withinMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.environment.clock.after(withinMs, resolve);
      void this.firstGrant.then(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  /** Takes an HTTP request and calls `reply` exactly once, now or later. */
  handleRequest(request: ServerRequest, reply: (response: ServerResponse) => void): void {
    this.httpRoutes.handle(request, reply);
  }

  /** A link of a peer has come in; returns what takes its frames. */
  acceptPeerLink(): FrameHandler {
    return this.peerDispatch.acceptLink();
  }

  /** A link to a peer has closed and its host refuses a new one; so many links to other peers stand. */
  onPeerRefused(peer: string, standingLinks: number): void {
    const othersReachable = standingLinks > 0 || this.platform.peers.length === 1;
    this.elector.tell({ kind: "peer refused", peer, othersReachable });
  }

  private readonly sendToPeer = (peer: string, message: PeerMessage): boolean =>
    this.environment.peerPort.send(peer, encodePeerMessage(message));

  private readonly lagMs = (): number => this.eventLoopLag.lagMs;

  private buildStateStore(): StateStoreClient {
    const { platform, environment } = this;
    return new StateStoreClient(environment.stateStoreHttp, environment.clock, platform.stateStoreAddress, {
      rps: platform.stateStoreRps,
      writeRps: platform.stateStoreWriteRps,
      controllers: platform.clusterSize,
    });
  }

  private buildAdmission(): Admission {
    const { platform, stateStore } = this;
    const { clock } = this.environment;
    return new Admission({
      stateStore,
      liveJobs: new LiveJobCache(stateStore, clock, liveJobReadGapMs(platform)),
      clock,
      teams: platform.teams,
      valueBytes: platform.stateStoreValueKb * 1024,
      onCancellationConfirmed: (id, at) =>
        this.heartbeatServer.tell({ kind: "cancellation confirmed", id, at }),
    });
  }

  private buildCloudClient(): CloudClient {
    const { cloudHttp, clock } = this.environment;
    const { cloudAddress, cloudRps } = this.platform;
    return new CloudClient(cloudHttp, clock, cloudAddress, cloudRps, (event) =>
      this.leader.tell({ kind: "cloud", event }),
    );
  }

  private buildCommandRouter(): CommandRouter {
    const { workerHttp, clock } = this.environment;
    const sender = new CommandSender(workerHttp, COMMAND_TIMEOUT_MS);
    return new CommandRouter(this.platform.node, clock, sender, this.sendToPeer, (term, result) =>
      this.leader.tell({ kind: "delivery finished", term, result }),
    );
  }

  private buildLeader(operator: Operator): Leader {
    return new Leader({
      platform: this.platform,
      operator,
      stateStore: this.stateStore,
      clock: this.environment.clock,
      cloud: this.cloud,
      deliver: (term, via, delivery) => this.commandRouter.deliver(term, via, delivery),
      sendGrant: this.sendToPeer,
      onServers: (servers) => this.heartbeatServer.tell({ kind: "servers", servers }),
      onLimits: (limits) => this.heartbeatServer.tell({ kind: "limits", limits }),
      workerCount: () => this.heartbeatServer.workerCount,
      lagMs: this.lagMs,
      onDeposed: (term) => this.elector.tell({ kind: "deposed", term }),
      onLagging: (term) => this.elector.tell({ kind: "lagging", term }),
      onMachineTypes: (types) => this.machineTypesKnown(types),
      onTaskCounts: (term, jobs) => this.publishTaskCounts(term, jobs),
    });
  }

  private buildHeartbeatServer(onFirstGrant: () => void): HeartbeatServer {
    const { platform, environment } = this;
    const cancellationRetentionS = platform.cancelS + platform.leaseS + CANCELLATION_MARGIN_S;
    return new HeartbeatServer({
      node: platform.node,
      zone: platform.zone,
      zones: controllerZones(platform),
      incarnation: Math.floor(environment.random() * INCARNATION_BOUND),
      clock: environment.clock,
      heartbeatS: platform.heartbeatS,
      cancellationRetentionMs: cancellationRetentionS * 1000,
      sendToLeader: this.sendToPeer,
      sendToZonePeer: this.sendToPeer,
      sendToLocalLeader: (update) => this.leader.tell({ kind: "heartbeat server update", update }),
      onFirstGrant,
      onLaterTerm: (term) => this.elector.tell({ kind: "deposed", term }),
      lagMs: this.lagMs,
    });
  }

  private buildElector(): Elector {
    const { clock, incarnation, random } = this.environment;
    return new Elector({
      node: this.platform.node,
      incarnation,
      peers: this.peerNames,
      stateStore: this.stateStore,
      clock,
      send: this.sendToPeer,
      random,
      leaseMs: LEADERSHIP_LEASE_MS,
      pollIntervalMs: PROBE_MS,
      onLeadershipChange: (change) => this.leadershipChanged(change),
    });
  }

  private buildHttpRoutes(): HttpRoutes {
    const { admission, heartbeatServer, environment } = this;
    return new HttpRoutes({
      admission,
      heartbeatServer,
      limiter: new RequestLimiter(this.lagMs, environment.random),
      isReady: () => this.readiness.isReady(environment.clock.nowMs()),
    });
  }

  private buildPeerDispatch(): PeerDispatch {
    const { admission, commandRouter, elector, heartbeatServer, leader, readiness } = this;
    return new PeerDispatch({
      peers: this.peerNames,
      clock: this.environment.clock,
      admission,
      commandRouter,
      elector,
      heartbeatServer,
      leader,
      readiness,
    });
  }

  private machineTypesKnown(types: MachineType[]): void {
    this.readiness.machineTypesKnown();
    this.machineTypesFetcher.stop();
    this.admission.tell({ kind: "types", types });
  }

  private publishTaskCounts(term: number, jobs: TaskCounts[]): void {
    this.admission.tell({ kind: "task counts", jobs });
    for (const peer of this.peerNames)
      this.sendToPeer(peer, { kind: "task counts", from: this.platform.node, term, jobs });
  }

  private leadershipChanged(change: LeadershipChange): void {
    // The leader first: the heartbeat server passes its workers' heartbeats on to it at once.
    this.leader.tell({ kind: "election", change });
    this.heartbeatServer.tell({ kind: "election", change });
  }
}

/**
 * All controllers' reads of live jobs together take less than half of what the state store serves. No user minds a response
 * a moment later, while each read costs this controller as much as several responses.
 */
function liveJobReadGapMs({ clusterSize, stateStoreRps }: Platform): number {
  return Math.max(MIN_READ_GAP_MS, (1000 * clusterSize) / (stateStoreRps * LIVE_JOB_READ_SHARE));
}

/** Each controller's zone, ours included. */
function controllerZones({ node, zone, peers }: Platform): ReadonlyMap<string, string> {
  return new Map([[node, zone], ...peers.map((peer): [string, string] => [peer.name, peer.zone])]);
}
