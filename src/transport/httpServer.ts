/** The HTTP server of a controller, for workers and users: JSON responses, bounded bodies and connections. */
import * as http from "node:http";
import { splitAddress } from "./address.js";

/** An idle connection is closed after this: workers and load balancers send over the same one again and again. */
const KEEP_ALIVE_MS = 75_000;
/** A request that has not come whole by then is given up. */
const REQUEST_TIMEOUT_MS = 15_000;
/** Connections that wait in the kernel until they are accepted; the default of Node.js. */
const LISTEN_BACKLOG = 511;
const BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/** A request that was received whole. */
export interface ServerRequest {
  method: string;
  /** Path without the query. */
  path: string;
  /** The raw body; at most `maxBodyBytes` long. */
  body: Buffer;
}

/** The response to a request. */
export interface ServerResponse {
  status: number;
  /** Sent as JSON. */
  body: unknown;
  headers?: Record<string, string>;
}

/** Responds through `reply`, now or later, exactly once; later calls do nothing. */
export type RequestHandler = (request: ServerRequest, reply: (response: ServerResponse) => void) => void;

/** How the server listens, its limits, and who handles its requests. */
export interface HttpServerOptions {
  /** Host and port. */
  listen: string;
  maxBodyBytes: number;
  /** Connections beyond this are closed at once. */
  maxConnections: number;
  handler: RequestHandler;
  /** Takes what a handler throws, and errors of the listening socket. */
  onError: (error: Error) => void;
}

/** One request on its way to the handler, and its response. */
class Exchange {
  private readonly parts: Buffer[] = [];
  private size = 0;
  private isDone = false;

  constructor(
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
    private readonly options: HttpServerOptions,
  ) {}

  start(): void {
    if (Number(this.request.headers["content-length"] ?? 0) > this.options.maxBodyBytes) {
      this.refuseBody();
      return;
    }
    this.request.on("data", (part: Buffer) => this.addPart(part));
    // Broken off by the client: nobody is left to respond to.
    this.request.on("error", () => (this.isDone = true));
    this.request.on("end", () => this.handle());
  }

  private addPart(part: Buffer): void {
    this.size += part.length;
    if (this.size > this.options.maxBodyBytes) this.refuseBody();
    else this.parts.push(part);
  }

  private refuseBody(): void {
    this.reply({ status: 413, body: { error: "body too large" }, headers: { Connection: "close" } });
    this.request.removeAllListeners("data");
    this.request.resume();
  }

  private handle(): void {
    if (this.isDone) return;
    const url = this.request.url ?? "/";
    const queryIndex = url.indexOf("?");
    const path = queryIndex < 0 ? url : url.slice(0, queryIndex);
    const body = this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts);
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
    // A string, not a buffer: it goes out together with the headers, in one piece.
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
 * Starts the one HTTP server of a controller; whoever calls this closes it. A half-sent request is given up after a
 * while, a body over the limit is refused without reading on, and an exception in a handler becomes a 500 for that
 * request alone. Rejects when the address can't be listened on.
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
