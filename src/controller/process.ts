/** Runs a controller as a process: real sockets, real time. */
import type { Server } from "node:http";
import { encodeHello } from "../protocol/peers/codec.js";
import type { Operator } from "../settings/operator.js";
import type { Platform } from "../settings/platform.js";
import type { Clock } from "../transport/clock.js";
import { HttpClient } from "../transport/httpClient.js";
import { startHttpServer } from "../transport/httpServer.js";
import { describeException, log } from "../transport/log.js";
import { PeerLinks } from "../transport/peerLinks.js";
import { Controller } from "./controller.js";

/** The longest body of a request that is read. */
const MAX_BODY_BYTES = 64 * 1024;
/** A new process serves workers and users after this at the latest, whether it may acknowledge heartbeats or not. */
const START_WAIT_MS = 2500;

/** The most sockets to the state store, to the cloud, and to each worker. */
const STATE_STORE_SOCKETS = 24;
const CLOUD_SOCKETS = 4;
const WORKER_SOCKETS = 2;

/** Sockets that users and workers don't get: they are for the state store, the cloud, workers' commands and peers. */
const MAX_RESERVED_SOCKETS = 200;
/** No more than this part of all sockets is reserved. */
const MAX_RESERVED_SHARE = 1 / 4;
const MIN_SERVER_CONNECTIONS = 8;

/** A controller that runs in this process. */
export interface RunningController {
  /** Closes every socket and timer of it. */
  stop(): void;
}

/**
 * Starts a controller; resolves once it serves.
 * @throws when an address can't be listened on.
 */
export async function serve(
  platform: Platform,
  operator: Operator,
  clock: Clock,
): Promise<RunningController> {
  const stateStoreHttp = new HttpClient(STATE_STORE_SOCKETS);
  const cloudHttp = new HttpClient(CLOUD_SOCKETS);
  const workerHttp = new HttpClient(WORKER_SOCKETS);
  const links = new PeerLinks({
    listen: platform.peerListenAddress,
    peers: platform.peers,
    clock,
    greeting: encodeHello(platform.node),
    onLink: () => controller.acceptPeerLink(),
    onRefused: (peer, standing) => controller.onPeerRefused(peer, standing),
    onBadLink: (reason) => log.error(reason),
    onError: logError,
  });
  const controller: Controller = new Controller(platform, operator, {
    clock,
    stateStoreHttp,
    cloudHttp,
    workerHttp,
    peerPort: links,
    incarnation: processIncarnation(Math.random),
    random: Math.random,
  });
  await links.start();
  controller.start();
  // Until it has a leader's grant a new process could only turn workers away. After a crash of all controllers hundreds of
  // them come to it each second: refused by the kernel they cost it nothing, answered they took the time that the grant
  // needed.
  await controller.waitForFirstGrant(START_WAIT_MS);
  const server: Server = await startHttpServer({
    listen: platform.listenAddress,
    maxBodyBytes: MAX_BODY_BYTES,
    maxConnections: serverConnections(platform.maxConnections),
    handler: (request, reply) => controller.handleRequest(request, reply),
    onError: logError,
  });
  log.info(`serving on ${platform.listenAddress}, peers on ${platform.peerListenAddress}`);
  return {
    stop: () => {
      controller.stop();
      links.close();
      server.close();
      server.closeAllConnections();
      for (const client of [stateStoreHttp, cloudHttp, workerHttp]) client.close();
    },
  };
}

function logError(error: Error): void {
  log.error(describeException(error));
}

/** Connections of users and workers that fit into this many sockets beside the reserved ones. */
function serverConnections(sockets: number): number {
  const reserved = Math.min(MAX_RESERVED_SOCKETS, Math.floor(sockets * MAX_RESERVED_SHARE));
  return Math.max(MIN_SERVER_CONNECTIONS, sockets - reserved);
}

/** Each of the two draws of an incarnation is below this. */
const INCARNATION_PART_BOUND = 2 ** 48;

/**
 * Distinguishes this process from others of the same controller: no secret, just never the same twice. Two draws of V8's
 * generator, which each process seeds anew, spare the start `node:crypto`, a fifteenth of its processor time.
 */
function processIncarnation(random: () => number): string {
  return [random(), random()].map((part) => Math.floor(part * INCARNATION_PART_BOUND).toString(16)).join("-");
}
