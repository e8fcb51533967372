/** Runs a controller in this process, on real sockets and the system clock. */
import type { Server } from "node:http";
import { encodeHello } from "../protocol/peers/codec.js";
import type { OperatorSettings } from "../settings/operator.js";
import type { PlatformSettings } from "../settings/platform.js";
import type { Clock } from "../transport/clock.js";
import { HttpClient } from "../transport/httpClient.js";
import { startHttpServer } from "../transport/httpServer.js";
import { describeException, log } from "../transport/log.js";
import { PeerLinks } from "../transport/peerLinks.js";
import { Controller } from "./controller.js";

/** Maximum size of a request body. */
const MAX_BODY_BYTES = 64 * 1024;
/** A new process starts its HTTP server after this time at the latest, even if it may not acknowledge heartbeats yet. */
const FIRST_GRANT_TIMEOUT_MS = 2500;

/** Maximum number of sockets to the state store, to the cloud, and to each worker. */
const MAX_STATE_STORE_SOCKETS = 24;
const MAX_CLOUD_SOCKETS = 4;
const MAX_SOCKETS_PER_WORKER = 2;

/** Maximum number of sockets kept free of incoming requests: for the state store, the cloud, commands and peers. */
const MAX_RESERVED_SOCKETS = 200;
/** Maximum share of all sockets that is reserved. */
const MAX_RESERVED_SHARE = 1 / 4;
const MIN_SERVER_CONNECTIONS = 8;

/** The handle of a running controller. */
export interface RunningController {
  /** Stops the controller and closes all its sockets and timers. */
  stop(): void;
}

/**
 * Starts a controller; resolves once its HTTP server accepts connections.
 * @throws if a socket can't listen on its configured address.
 */
export async function serve(
  platform: PlatformSettings,
  operator: OperatorSettings,
  clock: Clock,
): Promise<RunningController> {
  const stateStoreHttp = new HttpClient(MAX_STATE_STORE_SOCKETS);
  const cloudHttp = new HttpClient(MAX_CLOUD_SOCKETS);
  const workerHttp = new HttpClient(MAX_SOCKETS_PER_WORKER);
  const links = new PeerLinks({
    listen: platform.peerListenAddress,
    peers: platform.peers,
    clock,
    helloPayload: encodeHello(platform.node),
    onIncomingLink: () => controller.acceptPeerLink(),
    onConnectionRefused: (peer, establishedLinks) =>
      controller.onPeerConnectionRefused(peer, establishedLinks),
    onLinkRejected: (reason) => log.error(reason),
    onError: logError,
  });
  const controller: Controller = new Controller(platform, operator, {
    clock,
    stateStoreHttp,
    cloudHttp,
    workerHttp,
    peerSender: links,
    incarnation: createIncarnation(Math.random),
    random: Math.random,
  });
  await links.start();
  controller.start();
  // Without a grant a new process can only reject heartbeats. After a crash of all controllers hundreds of workers connect
  // each second: connections that the kernel refuses cost this process nothing, while answering them used up the processor
  // time needed to obtain the grant.
  await controller.waitForFirstGrant(FIRST_GRANT_TIMEOUT_MS);
  const server: Server = await startHttpServer({
    listen: platform.listenAddress,
    maxBodyBytes: MAX_BODY_BYTES,
    maxConnections: maxServerConnections(platform.maxConnections),
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

/** The number of users' and workers' connections that fit within the socket limit, beside the reserved sockets. */
function maxServerConnections(maxSockets: number): number {
  const reserved = Math.min(MAX_RESERVED_SOCKETS, Math.floor(maxSockets * MAX_RESERVED_SHARE));
  return Math.max(MIN_SERVER_CONNECTIONS, maxSockets - reserved);
}

/** Exclusive upper bound of each of the two random numbers of an incarnation. */
const INCARNATION_PART_BOUND = 2 ** 48;

/**
 * An identifier that distinguishes this process from other processes of the same controller; it must be unique but not
 * secret. Two numbers from V8's generator, which each process seeds anew, suffice: loading `node:crypto` would take a
 * fifteenth of the start's processor time.
 */
function createIncarnation(random: () => number): string {
  return [random(), random()]
    .map((randomPart) => Math.floor(randomPart * INCARNATION_PART_BOUND).toString(16))
    .join("-");
}
