import type { Server } from "node:http";
import { keys } from "../bookkeeping/records.js";
import { LiveJobCache } from "../bookkeeping/liveJobCache.js";
import { StateStoreClient } from "../bookkeeping/stateStoreClient.js";
import { Admission } from "../coordination/admission/admission.js";
import { RequestLimiter } from "../coordination/admission/requestLimiter.js";
import { CloudClient } from "../coordination/provisioning/cloudClient.js";
import { Leader } from "../coordination/leader/leader.js";
import { CommandSender } from "../coordination/commands/commandSender.js";
import { CommandRouter } from "../coordination/commands/commandRouter.js";
import { Elector } from "../coordination/leadership/elector.js";
import { HeartbeatServer } from "../coordination/heartbeats/heartbeatServer.js";
import { parseJson } from "../protocol/json.js";
import { decodeMachineTypes } from "../protocol/cloud.js";
import { decodePeerMessage, encodeHello, encodePeerMessage } from "../protocol/peers/codec.js";
import { PEER_PROTOCOL_VERSION, type PeerMessage } from "../protocol/peers/messages.js";
import { routeRequest } from "../protocol/users.js";
import { decodeHeartbeat } from "../protocol/workers.js";
import type { Operator } from "../settings/operator.js";
import type { Platform } from "../settings/platform.js";
import type { Clock } from "../transport/clock.js";
import type { HttpCaller } from "../transport/httpClient.js";
import { HttpClient } from "../transport/httpClient.js";
import { startHttpServer, type ServerResponse, type ServerRequest } from "../transport/httpServer.js";
import { EventLoopLagMeter } from "../transport/eventLoopLag.js";
import { log } from "../transport/log.js";
import { PeerLinks, type PeerPort } from "../transport/peerLinks.js";

const MAX_BODY = 64 * 1024;
/** A leadership lease shorter than this would be lost to a slow answer now and then. */
const LEADERSHIP_LEASE_MS = 4000;
const PROBE_MS = 500;
/** A new process serves workers and users after this at the latest, with or without a right to acknowledge reports. */
const START_WAIT_MS = 2500;
const DIRECT_MS = 3000;
/** Reads of live jobs are no closer together than this. */
const MIN_READ_GAP_MS = 250;
/** The share of the state store's rate that all controllers' reads of live jobs take at most. */
const LIVE_JOB_READ_SHARE = 0.45;
/** Refused by the state service for so long, while the leader was served this lately: then it is this node alone. */
const ALONE_MS = 4000;
const FRESH_MS = 1200;

export interface ControllerEnvironment {
  clock: Clock;
  stateStoreHttp: HttpCaller;
  cloudHttp: HttpCaller;
  workerHttp: HttpCaller;
  peerPort: PeerPort;
  /** Different in each process. */
  incarnation: string;
  random: () => number;
}

/** One controller: the actors, wired to each other and to whatever stands for the outside. */
export class Controller {
  readonly stateStore: StateStoreClient;
  readonly elector: Elector;
  readonly leader: Leader;
  readonly admission: Admission;
  private readonly cloud: CloudClient;
  private readonly heartbeatServer: HeartbeatServer;
  private readonly commandRouter: CommandRouter;
  private readonly lag: EventLoopLagMeter;
  private typesKnown = false;
  private readonly limiter: RequestLimiter;
  private leaderServedMs = -Infinity;
  private stopped = false;
  /** Resolves once reports may be acknowledged here. */
  private readonly firstGrant: Promise<void>;

  constructor(
    private readonly platform: Platform,
    operator: Operator,
    private readonly out: ControllerEnvironment,
  ) {
    const { clock } = out;
    const send = (peer: string, message: PeerMessage) => out.peerPort.send(peer, encodePeerMessage(message));
    this.stateStore = new StateStoreClient(out.stateStoreHttp, clock, platform.stateStoreAddress, {
      rps: platform.stateStoreRps,
      writeRps: platform.stateStoreWriteRps,
      nodes: platform.clusterSize,
    });
    this.lag = new EventLoopLagMeter(clock);
    this.limiter = new RequestLimiter(() => this.lag.lagMs, out.random);
    const liveJobs = new LiveJobCache(this.stateStore, clock, liveJobReadGapMs(platform));
    this.admission = new Admission({
      stateStore: this.stateStore,
      liveJobs,
      clock,
      teams: platform.teams,
      valueBytes: platform.stateStoreValueKb * 1024,
      onCancellationConfirmed: (id, at) =>
        this.heartbeatServer.tell({ kind: "cancellation confirmed", id, at }),
    });
    this.cloud = new CloudClient(out.cloudHttp, clock, platform.cloudAddress, platform.cloudRps, (event) =>
      this.leader.tell({ kind: "cloud", event }),
    );
    this.commandRouter = new CommandRouter(
      platform.node,
      clock,
      new CommandSender(out.workerHttp, DIRECT_MS),
      send,
      (term, result) => this.leader.tell({ kind: "delivery finished", term, result }),
    );
    const others = platform.peers.map((p) => p.name);
    const lagMs = (): number => this.lag.lagMs;
    this.leader = new Leader({
      platform,
      operator,
      stateStore: this.stateStore,
      clock,
      cloud: this.cloud,
      deliver: (term, via, delivery) => this.commandRouter.deliver(term, via, delivery),
      sendGrant: send,
      onServers: (servers) => this.heartbeatServer.tell({ kind: "servers", servers }),
      onLimits: (limits) => this.heartbeatServer.tell({ kind: "limits", limits }),
      workerCount: () => this.heartbeatServer.workerCount,
      lagMs,
      onDeposed: (term) => this.elector.tell({ kind: "deposed", term }),
      onLagging: (term) => this.elector.tell({ kind: "lagging", term }),
      onMachineTypes: (types) => {
        this.typesKnown = true;
        this.admission.tell({ kind: "types", types });
      },
      onTaskCounts: (term, jobs) => {
        this.admission.tell({ kind: "task counts", jobs });
        for (const peer of others) send(peer, { kind: "task counts", from: platform.node, term, jobs });
      },
    });
    let onFirstGrant = (): void => undefined;
    this.firstGrant = new Promise((resolve) => (onFirstGrant = resolve));
    this.heartbeatServer = new HeartbeatServer({
      node: platform.node,
      zone: platform.zone,
      zones: controllerZones(platform),
      incarnation: Math.floor(out.random() * 2 ** 47),
      clock,
      heartbeatS: platform.heartbeatS,
      cancellationRetentionMs: (platform.cancelS + platform.leaseS + 10) * 1000,
      sendToLeader: send,
      sendToNeighbour: send,
      sendToLocalLeader: (update) => this.leader.tell({ kind: "heartbeat server update", update }),
      onFirstGrant,
      onLaterTerm: (term) => this.elector.tell({ kind: "deposed", term }),
      lagMs,
    });
    this.elector = new Elector({
      node: platform.node,
      incarnation: out.incarnation,
      peers: others,
      stateStore: this.stateStore,
      clock,
      send,
      random: out.random,
      leaseMs: LEADERSHIP_LEASE_MS,
      probeMs: PROBE_MS,
      onLeadershipChange: (change) => {
        // The leader first: the report server tells it of its workers at once.
        this.leader.tell({ kind: "election", change });
        this.heartbeatServer.tell({ kind: "election", change });
      },
    });
  }

  start(): void {
    this.lag.start();
    this.elector.start();
    this.leader.start();
    this.heartbeatServer.start();
    this.fetchMachineTypes(0);
  }

  stop(): void {
    this.stopped = true;
    this.lag.stop();
    this.elector.stop();
    this.leader.stop();
    this.heartbeatServer.stop();
    this.cloud.tell({ kind: "stop" });
  }

  /** Resolves once reports may be acknowledged here, or after that time. */
  waitForFirstGrant(withinMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.out.clock.after(withinMs, resolve);
      void this.firstGrant.then(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  /** A node that doesn't lead learns the machine types from the state service, where a leader put them. */
  private fetchMachineTypes(round: number): void {
    if (this.typesKnown || this.stopped) return;
    void this.stateStore.get(keys.types, this.out.clock.nowMs() + 2000).then((got) => {
      const types = got.kind === "found" ? decodeMachineTypes(got.item.value) : null;
      if (types && types.length > 0)
        this.leader.tell({ kind: "cloud", event: { kind: "types", types, isStored: true } });
      else this.out.clock.after(Math.min(1000, 200 + round * 100), () => this.fetchMachineTypes(round + 1));
    });
  }

  /** A link that comes in: gives what takes its frames, and says why to close it when one is not in order. */
  acceptPeerLink(): (frame: Buffer) => string | null {
    let peer: string | null = null;
    return (frame) => {
      const message = decodePeerMessage(frame);
      if (!message) return "not a frame of ours";
      if (peer === null) {
        if (message.kind !== "hello") return "no greeting";
        if (message.version !== PEER_PROTOCOL_VERSION)
          return `${message.from} speaks version ${message.version}, this node ${PEER_PROTOCOL_VERSION}`;
        if (!this.platform.peers.some((p) => p.name === message.from)) return `${message.from} is no peer`;
        peer = message.from;
        return null;
      }
      if (message.from !== peer) return `${peer} speaks for ${message.from}`;
      this.onPeer(message);
      return null;
    };
  }

  private onPeer(message: PeerMessage): void {
    switch (message.kind) {
      case "hello":
        break;
      case "task counts":
        this.admission.tell({ kind: "task counts", jobs: message.jobs });
        break;
      case "heartbeat server update":
        this.leader.tell({ kind: "heartbeat server update", update: message });
        break;
      case "grant":
        if (message.stateStoreReachable) this.leaderServedMs = this.out.clock.nowMs();
        this.heartbeatServer.tell({ kind: "grant", grant: message });
        break;
      case "isolated":
        this.heartbeatServer.tell({ kind: "isolated", from: message.from, term: message.term });
        break;
      case "deliveries":
        this.commandRouter.deliverFor(message.from, message.term, message.deliveries);
        break;
      case "delivery results":
        for (const result of message.results)
          this.leader.tell({ kind: "delivery finished", term: message.term, result });
        break;
      default:
        this.elector.tell({ kind: "peer", message });
    }
  }

  /** A link to a peer has closed and its host refuses a new one; so many links to other peers stand. */
  onPeerRefused(peer: string, standing: number): void {
    const othersReachable = standing > 0 || this.platform.peers.length === 1;
    this.elector.tell({ kind: "peer refused", peer, othersReachable });
  }

  /**
   * Ready when requests can be decided here. A node that the state service alone refuses turns users away; in an outage
   * that hits everybody that would help nobody, and the balancer would leave all nodes out for long after it.
   */
  isReady(): boolean {
    if (!this.typesKnown) return false;
    const now = this.out.clock.nowMs();
    const { lastServedSentMs, lastRefusedMs } = this.stateStore;
    const refusedForMs = lastRefusedMs > lastServedSentMs ? now - lastServedSentMs : 0;
    return !(refusedForMs > ALONE_MS && now - this.leaderServedMs < FRESH_MS);
  }

  handleRequest(request: ServerRequest, reply: (answer: ServerResponse) => void): void {
    const call = routeRequest(request.method, request.path);
    switch (call.call) {
      case "heartbeat": {
        const heartbeat = decodeHeartbeat(parseJson(request.body));
        if (!heartbeat) {
          reply({ status: 400, body: { error: "not a report" } });
          return;
        }
        this.heartbeatServer.tell({ kind: "heartbeat", heartbeat, reply });
        return;
      }
      case "ready":
        reply(
          this.isReady() ? { status: 200, body: { ready: true } } : { status: 503, body: { ready: false } },
        );
        return;
      case "none":
        reply({
          status: call.status,
          body: { error: call.status === 404 ? "no such path" : "no such method here" },
          headers: call.allow ? { Allow: call.allow } : {},
        });
        return;
      default:
        break;
    }
    const kind = call.call === "show" ? "question" : "change";
    if (!this.limiter.take(kind)) {
      reply({ status: 503, body: { error: "too much at once" }, headers: { "Retry-After": "2" } });
      return;
    }
    const done = (answer: ServerResponse): void => {
      this.limiter.finished(kind);
      reply(answer);
    };
    if (call.call === "submit") {
      const value = parseJson(request.body);
      if (value === undefined) done({ status: 400, body: { error: "the body is not JSON" } });
      else this.admission.tell({ kind: "submit", value, reply: done });
    } else this.admission.tell({ kind: call.call, id: call.id, reply: done });
  }
}

/**
 * All controllers' reads of live jobs together take less than half of what the state store serves. No user minds an answer
 * a moment later, while each read costs this controller as much as several answers.
 */
function liveJobReadGapMs({ clusterSize, stateStoreRps }: Platform): number {
  return Math.max(MIN_READ_GAP_MS, (1000 * clusterSize) / (stateStoreRps * LIVE_JOB_READ_SHARE));
}

/** Each controller's zone, ours included. */
function controllerZones({ node, zone, peers }: Platform): ReadonlyMap<string, string> {
  return new Map([[node, zone], ...peers.map((peer): [string, string] => [peer.name, peer.zone])]);
}

/**
 * Tells this process from others of the same controller: no secret, just never the same twice. Two draws of V8's generator,
 * which each process seeds anew, spare the start `node:crypto`, a fifteenth of its processor time.
 */
function processIdentity(random: () => number): string {
  return [random(), random()].map((part) => Math.floor(part * 2 ** 48).toString(16)).join("-");
}

export interface Running {
  stop(): void;
}

/** Starts a controller as a process: real sockets, real time. */
export async function serve(platform: Platform, operator: Operator, clock: Clock): Promise<Running> {
  const sockets = platform.maxConnections;
  const stateHttp = new HttpClient(24);
  const cloudHttp = new HttpClient(4);
  const workerHttp = new HttpClient(2);
  const onError = (error: Error): void => log.error(String(error.stack ?? error));
  const links = new PeerLinks({
    listen: platform.peerListenAddress,
    peers: platform.peers,
    clock,
    greeting: encodeHello(platform.node),
    onLink: () => running.acceptPeerLink(),
    onRefused: (peer, standing) => running.onPeerRefused(peer, standing),
    onBadLink: (reason) => log.error(reason),
    onError,
  });
  const running: Controller = new Controller(platform, operator, {
    clock,
    stateStoreHttp: stateHttp,
    cloudHttp: cloudHttp,
    workerHttp: workerHttp,
    peerPort: links,
    incarnation: processIdentity(Math.random),
    random: Math.random,
  });
  await links.start();
  running.start();
  // Until it has a leader's grant a new process could only turn workers away. After a crash of all controllers hundreds of
  // them come to it each second: refused by the kernel they cost it nothing, answered they took the time that the grant
  // needed.
  await running.waitForFirstGrant(START_WAIT_MS);
  const server: Server = await startHttpServer({
    listen: platform.listenAddress,
    maxBodyBytes: MAX_BODY,
    // Leave some for the state service, the cloud, workers and peers.
    maxConnections: Math.max(8, sockets - Math.min(200, Math.floor(sockets / 4))),
    handler: (request, reply) => running.handleRequest(request, reply),
    onError,
  });
  log.info(`serving on ${platform.listenAddress}, peers on ${platform.peerListenAddress}`);
  return {
    stop: () => {
      running.stop();
      links.close();
      server.close();
      server.closeAllConnections();
      for (const c of [stateHttp, cloudHttp, workerHttp]) c.close();
    },
  };
}
