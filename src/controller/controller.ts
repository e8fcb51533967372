/** A controller: creates its components and connects them to each other and to the network, which may be simulated. */
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
import type { OperatorSettings } from "../settings/operator.js";
import type { PlatformSettings } from "../settings/platform.js";
import type { Clock } from "../transport/clock.js";
import { EventLoopLagMeter } from "../transport/eventLoopLag.js";
import type { HttpCaller } from "../transport/httpClient.js";
import type { ServerRequest, ServerResponse } from "../transport/httpServer.js";
import type { PeerSender } from "../transport/peerLinks.js";
import { HttpRoutes } from "./httpRoutes.js";
import { MachineTypesFetcher } from "./machineTypesFetcher.js";
import { PeerDispatch, type FrameHandler } from "./peerDispatch.js";
import { Readiness } from "./readiness.js";

/** A shorter leadership lease would occasionally expire because of a slow response from the state store. */
const LEADERSHIP_LEASE_MS = 4000;
/** Interval at which a controller that does not lead reads who does. */
const POLL_INTERVAL_MS = 500;
/** Timeout of a worker's response to commands. */
const COMMAND_TIMEOUT_MS = 3000;
/** Minimum time between the starts of two reads of live jobs. */
const MIN_LIVE_READ_INTERVAL_MS = 250;
/** Maximum share of the state store's request rate that the live job reads of all controllers use. */
const LIVE_JOB_READ_SHARE = 0.45;
/** Margin by which a confirmed cancellation is kept longer than any task of the cancelled job can run. */
const CANCELLATION_RETENTION_MARGIN_S = 10;
/** Exclusive upper bound of a heartbeat server's incarnation in peer messages. */
const INCARNATION_BOUND = 2 ** 47;

/** What a controller needs from its process: clock, network and random numbers. */
export interface ControllerEnvironment {
  clock: Clock;
  stateStoreHttp: HttpCaller;
  cloudHttp: HttpCaller;
  workerHttp: HttpCaller;
  peerSender: PeerSender;
  /** Unique to each process of this controller. */
  incarnation: string;
  /** Returns a random number from 0 (included) to 1 (excluded). */
  random: () => number;
}

/** Owns the components of one controller. They call each other through callbacks, so that none depends on all others. */
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
  /** Resolves once this controller may acknowledge heartbeats for the first time. */
  private readonly firstGrant: Promise<void>;

  constructor(
    private readonly platform: PlatformSettings,
    operator: OperatorSettings,
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
      this.leader.post({ kind: "cloud", event: { kind: "types", types, isStored: true } }),
    );
    this.httpRoutes = this.buildHttpRoutes();
    this.peerDispatch = this.buildPeerDispatch();
  }

  /** Starts all components. Requests are handled from now on; readiness follows once the machine types are known. */
  start(): void {
    this.eventLoopLag.start();
    this.elector.start();
    this.leader.start();
    this.heartbeatServer.start();
    this.machineTypesFetcher.start();
  }

  /** Stops all components and their timers. */
  stop(): void {
    this.machineTypesFetcher.stop();
    this.eventLoopLag.stop();
    this.elector.stop();
    this.leader.stop();
    this.heartbeatServer.stop();
    this.cloud.post({ kind: "stop" });
  }

  /** Resolves once this controller may acknowledge heartbeats, or after the timeout. */
  waitForFirstGrant(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.environment.clock.after(timeoutMs, resolve);
      void this.firstGrant.then(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  /** Handles an HTTP request; calls `reply` exactly once, synchronously or later. */
  handleRequest(request: ServerRequest, reply: (response: ServerResponse) => void): void {
    this.httpRoutes.handle(request, reply);
  }

  /** Accepts an incoming link and returns the handler of its frames. */
  acceptPeerLink(): FrameHandler {
    return this.peerDispatch.acceptLink();
  }

  /** Handles a lost link to a peer whose host refuses a new one; `establishedLinks` counts the links to other peers. */
  onPeerConnectionRefused(peer: string, establishedLinks: number): void {
    const othersReachable = establishedLinks > 0 || this.platform.peers.length === 1;
    this.elector.post({ kind: "peer refused", peer, othersReachable });
  }

  private readonly sendToPeer = (peer: string, message: PeerMessage): boolean =>
    this.environment.peerSender.send(peer, encodePeerMessage(message));

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
      liveJobs: new LiveJobCache(stateStore, clock, liveJobReadIntervalMs(platform)),
      clock,
      teams: platform.teams,
      maxValueBytes: platform.stateStoreMaxValueKib * 1024,
      onCancellationConfirmed: (id, at) =>
        this.heartbeatServer.post({ kind: "cancellation confirmed", id, at }),
    });
  }

  private buildCloudClient(): CloudClient {
    const { cloudHttp, clock } = this.environment;
    const { cloudAddress, cloudRps } = this.platform;
    return new CloudClient(cloudHttp, clock, cloudAddress, cloudRps, (event) =>
      this.leader.post({ kind: "cloud", event }),
    );
  }

  private buildCommandRouter(): CommandRouter {
    const { workerHttp, clock } = this.environment;
    const sender = new CommandSender(workerHttp, COMMAND_TIMEOUT_MS);
    return new CommandRouter(this.platform.node, clock, sender, this.sendToPeer, (term, result) =>
      this.leader.post({ kind: "delivery finished", term, result }),
    );
  }

  private buildLeader(operator: OperatorSettings): Leader {
    return new Leader({
      platform: this.platform,
      operator,
      stateStore: this.stateStore,
      clock: this.environment.clock,
      cloud: this.cloud,
      deliver: (term, via, delivery) => this.commandRouter.deliver(term, via, delivery),
      sendGrant: this.sendToPeer,
      onServers: (servers) => this.heartbeatServer.post({ kind: "servers", servers }),
      onLimits: (limits) => this.heartbeatServer.post({ kind: "limits", limits }),
      workerCount: () => this.heartbeatServer.workerCount,
      lagMs: this.lagMs,
      onDeposed: (term) => this.elector.post({ kind: "deposed", term }),
      onLagging: (term) => this.elector.post({ kind: "lagging", term }),
      onMachineTypes: (types) => this.handleMachineTypes(types),
      onTaskCounts: (term, jobs) => this.publishTaskCounts(term, jobs),
    });
  }

  private buildHeartbeatServer(onFirstGrant: () => void): HeartbeatServer {
    const { platform, environment } = this;
    const cancellationRetentionS = platform.cancelS + platform.leaseS + CANCELLATION_RETENTION_MARGIN_S;
    return new HeartbeatServer({
      node: platform.node,
      zone: platform.zone,
      controllerZones: controllerZones(platform),
      incarnation: Math.floor(environment.random() * INCARNATION_BOUND),
      clock: environment.clock,
      heartbeatS: platform.heartbeatS,
      cancellationRetentionMs: cancellationRetentionS * 1000,
      sendToLeader: this.sendToPeer,
      sendToZonePeer: this.sendToPeer,
      sendToLocalLeader: (update) => this.leader.post({ kind: "heartbeat server update", update }),
      onFirstGrant,
      onLaterTerm: (term) => this.elector.post({ kind: "deposed", term }),
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
      pollIntervalMs: POLL_INTERVAL_MS,
      onLeadershipChange: (change) => this.handleLeadershipChange(change),
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

  private handleMachineTypes(types: MachineType[]): void {
    this.readiness.setMachineTypesKnown();
    this.machineTypesFetcher.stop();
    this.admission.post({ kind: "types", types });
  }

  private publishTaskCounts(term: number, jobs: TaskCounts[]): void {
    this.admission.post({ kind: "task counts", jobs });
    for (const peer of this.peerNames)
      this.sendToPeer(peer, { kind: "task counts", from: this.platform.node, term, jobs });
  }

  private handleLeadershipChange(change: LeadershipChange): void {
    // The leader is notified first, because the heartbeat server forwards its workers' heartbeats to it immediately.
    this.leader.post({ kind: "election", change });
    this.heartbeatServer.post({ kind: "election", change });
  }
}

/**
 * The interval keeps the live job reads of all controllers together below half of the state store's request rate. Users
 * barely notice the added delay, while each read costs this controller as much as several responses.
 */
function liveJobReadIntervalMs({ clusterSize, stateStoreRps }: PlatformSettings): number {
  return Math.max(MIN_LIVE_READ_INTERVAL_MS, (1000 * clusterSize) / (stateStoreRps * LIVE_JOB_READ_SHARE));
}

/** The zone of each controller by its name, this one included. */
function controllerZones({ node, zone, peers }: PlatformSettings): ReadonlyMap<string, string> {
  return new Map([[node, zone], ...peers.map((peer): [string, string] => [peer.name, peer.zone])]);
}
