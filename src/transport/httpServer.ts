/** The HTTP server for workers and users, with JSON responses and limits on body size and connections. */
import * as http from "node:http";
import { splitAddress } from "./address.js";

/** Idle time after which a connection is closed. Workers and load balancers reuse connections, so it is long. */
const KEEP_ALIVE_MS = 75_000;
/** Time in which a request must be received completely. */
const REQUEST_TIMEOUT_MS = 15_000;
/** Maximum length of the kernel's queue of connections that are not accepted yet; the default of Node.js. */
const LISTEN_BACKLOG = 511;
const BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/** A completely received request. */
export interface ServerRequest {
  method: string;
  /** The path without the query string. */
  path: string;
  /** The raw body, at most `maxBodyBytes` long. */
  body: Buffer;
}

/** The response of a handler to a request. */
export interface ServerResponse {
  status: number;
  /** The value that is sent as JSON; undefined and null are sent as an empty object. */
  body: unknown;
  headers?: Record<string, string>;
}

/** Handles a request and calls `reply` once, synchronously or later; further calls of `reply` do nothing. */
export type RequestHandler = (request: ServerRequest, reply: (response: ServerResponse) => void) => void;

/** The listening address, limits and callbacks of a server. */
export interface HttpServerOptions {
  /** The listening address, as `host:port`. */
  listen: string;
  /** A request with a longer body is answered with 413. */
  maxBodyBytes: number;
  /** Maximum number of connections; further ones are closed as soon as they are accepted. */
  maxConnections: number;
  handler: RequestHandler;
  /** Called with exceptions from the handler and errors of the listening socket. */
  onError: (error: Error) => void;
}

/** One HTTP exchange: collects the request body, calls the handler and sends its response. */
class Exchange {
  private readonly chunks: Buffer[] = [];
  private size = 0;
  private isDone = false;

  constructor(
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
    private readonly options: HttpServerOptions,
  ) {}

  start(): void {
    if (Number(this.request.headers["content-length"] ?? 0) > this.options.maxBodyBytes) {
      this.rejectBody();
      return;
    }
    this.request.on("data", (chunk: Buffer) => this.addChunk(chunk));
    // The client aborted the request, so no response can reach it.
    this.request.on("error", () => (this.isDone = true));
    this.request.on("end", () => this.handle());
  }

  private addChunk(chunk: Buffer): void {
    this.size += chunk.length;
    if (this.size > this.options.maxBodyBytes) this.rejectBody();
    else this.chunks.push(chunk);
  }

  private rejectBody(): void {
    this.reply({ status: 413, body: { error: "body too large" }, headers: { Connection: "close" } });
    this.request.removeAllListeners("data");
    this.request.resume();
  }

  private handle(): void {
    if (this.isDone) return;
    const url = this.request.url ?? "/";
    const queryIndex = url.indexOf("?");
    const path = queryIndex < 0 ? url : url.slice(0, queryIndex);
    const body = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
    try {
      this.options.handler({ method: this.request.method ?? "GET", path, body }, this.reply);
    } catch (error) {
      this.options.onError(error as Error);
      this.reply({ status: 500, body: { error: "internal error" } });
    }
  }

  private readonly reply = (response: ServerResponse): void => {
    if (this.isDone) return;
    this.isDone = true;
    if (this.response.destroyed) return;
    // Node.js writes a string body together with the headers in one piece, which it does not do with a buffer.
    const payload = JSON.stringify(response.body ?? {});
    this.response.writeHead(response.status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(payload),
      ...response.headers,
    });
    this.response.end(payload);
  };
}

/**
 * Starts an HTTP server, which the caller must close. An incomplete request times out, a body over the limit is
 * rejected with 413 and the rest of it is discarded, and an exception in the handler causes a 500 response to that
 * request only. The promise rejects if the server can't listen on the address.
 */
export function startHttpServer(options: HttpServerOptions): Promise<http.Server> {
  const server = http.createServer(
    { keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: REQUEST_TIMEOUT_MS },
    (request, response) => new Exchange(request, response, options).start(),
  );
  server.maxConnections = options.maxConnections;
  server.on("clientError", (_error, socket) => {
    if (socket.writable) socket.end(BAD_REQUEST);
    else socket.destroy();
  });
  return new Promise((resolve, reject) => {
    const { host, port } = splitAddress(options.listen);
    server.once("error", reject);
    server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => {
      server.off("error", reject);
      server.on("error", options.onError);
      resolve(server);
    });
  });
}
