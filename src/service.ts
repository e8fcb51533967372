import { randomBytes } from "node:crypto";
import type { Server } from "node:http";
import { keys } from "./bookkeeping/records.js";
import { StateClient } from "./bookkeeping/stateClient.js";
import { Admission } from "./coordination/admission.js";
import { CloudDesk } from "./coordination/cloudDesk.js";
import { Conductor } from "./coordination/conductor.js";
import { Courier } from "./coordination/courier.js";
import { Elector } from "./coordination/election.js";
import { Strays } from "./coordination/strays.js";
import { parseJson } from "./protocol/checks.js";
import { decodeTypes } from "./protocol/cloud.js";
import { decodePeer, encodePeer, type PeerMessage } from "./protocol/peers.js";
import { route } from "./protocol/users.js";
import { decodeReport } from "./protocol/workers.js";
import type { Operator } from "./settings/operator.js";
import type { Platform } from "./settings/platform.js";
import type { Clock } from "./transport/clock.js";
import type { HttpCaller } from "./transport/httpClient.js";
import { HttpClient } from "./transport/httpClient.js";
import { startHttpServer, type Answer, type Incoming } from "./transport/httpServer.js";
import { log } from "./transport/log.js";
import { PeerLinks, type PeerPort } from "./transport/peerLink.js";

const MAX_BODY = 64 * 1024;
/** A hold shorter than this would be lost to a slow answer now and then. */
const HOLD_MS = 3000;
const PROBE_MS = 500;
const DIRECT_MS = 3000;
/** Requests of users under way at one node; more are told to come back. */
const MAX_IN_FLIGHT = 300;

export interface Outside {
  clock: Clock;
  state: HttpCaller;
  cloud: HttpCaller;
  workers: HttpCaller;
  peers: PeerPort;
  /** Different in each process. */
  life: string;
  random: () => number;
}

/** One controller: the actors, wired to each other and to whatever stands for the outside. */
export class Controller {
  readonly state: StateClient;
  readonly elector: Elector;
  readonly conductor: Conductor;
  readonly admission: Admission;
  private readonly cloud: CloudDesk;
  private readonly strays: Strays;
  private typesKnown = false;
  private leader: string | null = null;
  private inFlight = 0;
  private lastTallyMs = -Infinity;
  private stopped = false;

  constructor(
    private readonly platform: Platform,
    operator: Operator,
    private readonly out: Outside,
  ) {
    const { clock } = out;
    const send = (peer: string, message: PeerMessage): void => out.peers.send(peer, encodePeer(message));
    this.state = new StateClient(out.state, clock, platform.state, {
      rps: platform.stateRps,
      writeRps: platform.stateWriteRps,
      nodes: platform.size,
    });
    this.admission = new Admission({
      state: this.state,
      clock,
      teams: platform.teams,
      zones: platform.zones,
      valueBytes: platform.stateValueKb * 1024,
      onChange: () => undefined,
    });
    this.cloud = new CloudDesk(out.cloud, clock, platform.cloud, platform.cloudRps, (news) =>
      this.conductor.tell({ kind: "cloud", news }),
    );
    const courier = new Courier(out.workers, DIRECT_MS, (result) =>
      this.conductor.tell({ kind: "errand", result }),
    );
    const others = platform.peers.map((p) => p.name);
    this.conductor = new Conductor({
      platform,
      operator,
      state: this.state,
      clock,
      cloud: this.cloud,
      courier,
      onDeposed: (term) => this.elector.tell({ kind: "deposed", term }),
      onIsolated: (term) => this.elector.tell({ kind: "isolated", term }),
      onTypes: (types) => {
        this.typesKnown = true;
        this.admission.tell({ kind: "types", types });
      },
      onTally: (term, jobs) => {
        this.admission.tell({ kind: "tally", jobs });
        for (const peer of others) send(peer, { kind: "tally", from: platform.node, term, jobs });
      },
    });
    this.elector = new Elector({
      node: platform.node,
      life: out.life,
      peers: others,
      state: this.state,
      clock,
      send,
      random: out.random,
      ttlMs: HOLD_MS,
      probeMs: PROBE_MS,
      onNews: (news) => {
        this.leader = news.leader;
        this.conductor.tell({ kind: "election", news });
      },
    });
    this.strays = new Strays(clock, platform.reportS, (leader, machines) =>
      send(leader, { kind: "astray", from: platform.node, machines }),
    );
  }

  start(): void {
    this.elector.start();
    this.conductor.start();
    this.learnTypes(0);
  }

  stop(): void {
    this.stopped = true;
    this.elector.stop();
    this.conductor.stop();
    this.cloud.tell({ kind: "stop" });
  }

  /** A node that doesn't lead learns the machine types from the state service, where a leader put them. */
  private learnTypes(round: number): void {
    if (this.typesKnown || this.stopped) return;
    void this.state.get(keys.types, this.out.clock.nowMs() + 2000).then((got) => {
      const types = got.kind === "found" ? decodeTypes(got.item.value) : null;
      if (types && types.length > 0)
        this.conductor.tell({ kind: "cloud", news: { kind: "types", types, stored: true } });
      else this.out.clock.after(Math.min(1000, 200 + round * 100), () => this.learnTypes(round + 1));
    });
  }

  onPeer(frame: Buffer): void {
    const message = decodePeer(frame);
    if (!message) return;
    if (message.kind === "tally") {
      this.lastTallyMs = this.out.clock.nowMs();
      this.admission.tell({ kind: "tally", jobs: message.jobs });
    } else if (message.kind === "astray") this.conductor.tell({ kind: "astray", machines: message.machines });
    else this.elector.tell({ kind: "peer", message });
  }

  onPeerRefused(peer: string): void {
    this.elector.tell({ kind: "refused", peer });
  }

  /** Ready when requests can be decided here. In an outage that hits everybody, turning users away helps nobody. */
  ready(): boolean {
    if (!this.typesKnown) return false;
    const now = this.out.clock.nowMs();
    const refused =
      this.state.lastRefusedMs > this.state.lastServedSentMs && now - this.state.lastServedSentMs > 1500;
    const othersServed = now - this.lastTallyMs < 2500;
    return !(refused && othersServed);
  }

  onRequest(request: Incoming, reply: (answer: Answer) => void): void {
    const call = route(request.method, request.path);
    switch (call.call) {
      case "report": {
        const report = decodeReport(parseJson(request.body));
        if (!report) {
          reply({ status: 400, body: { error: "not a report" } });
          return;
        }
        if (this.leader !== null && this.leader !== this.platform.node)
          this.strays.seen(report.machine, this.leader);
        this.conductor.tell({ kind: "report", report, reply });
        return;
      }
      case "ready":
        reply(
          this.ready() ? { status: 200, body: { ready: true } } : { status: 503, body: { ready: false } },
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
    if (this.inFlight >= MAX_IN_FLIGHT) {
      reply({ status: 503, body: { error: "too much at once" }, headers: { "Retry-After": "2" } });
      return;
    }
    this.inFlight++;
    const done = (answer: Answer): void => {
      this.inFlight--;
      reply(answer);
    };
    if (call.call === "submit") {
      const value = parseJson(request.body);
      if (value === undefined) done({ status: 400, body: { error: "the body is not JSON" } });
      else this.admission.tell({ kind: "submit", value, reply: done });
    } else this.admission.tell({ kind: call.call, id: call.id, reply: done });
  }
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
  let controller: Controller | null = null;
  const links = new PeerLinks({
    listen: platform.peerListen,
    peers: platform.peers,
    clock,
    onFrame: (frame) => controller?.onPeer(frame),
    onRefused: (peer) => controller?.onPeerRefused(peer),
    onError,
  });
  controller = new Controller(platform, operator, {
    clock,
    state: stateHttp,
    cloud: cloudHttp,
    workers: workerHttp,
    peers: links,
    life: randomBytes(8).toString("hex"),
    random: Math.random,
  });
  const running = controller;
  await links.start();
  const server: Server = await startHttpServer({
    listen: platform.listen,
    maxBody: MAX_BODY,
    // Leave some for the state service, the cloud, workers and peers.
    maxConnections: Math.max(8, sockets - Math.min(200, Math.floor(sockets / 4))),
    handler: (request, reply) => running.onRequest(request, reply),
    onError,
  });
  running.start();
  log.info(`serving on ${platform.listen}, peers on ${platform.peerListen}`);
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
