/** The HTTP client for the state store, the cloud and the workers, with JSON bodies and persistent connections. */
import * as http from "node:http";
import { splitAddress } from "./address.js";

/** Maximum number of idle connections that are kept open to one address. */
const MAX_IDLE_SOCKETS = 2;

/** A complete response. */
export interface ClientResponse {
  status: number;
  /** The parsed JSON, or null if the body is empty. */
  body: unknown;
}

/** No complete response was received. The server may have executed the request, may still do so, or may never do so. */
export class NoResponseError extends Error {
  constructor(
    reason: string,
    /** True if no connection was established, so that nothing can have been sent. */
    readonly neverSent: boolean,
  ) {
    super(reason);
  }
}

/** Sends HTTP requests; `HttpClient` is the implementation over real sockets. */
export interface HttpCaller {
  /** Resolves with a response of any status; rejects with a `NoResponseError` if no complete JSON response arrives. */
  call(
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<ClientResponse>;
}

/** Sends requests over persistent connections, with one request at a time on each connection. */
export class HttpClient implements HttpCaller {
  private readonly agent: http.Agent;

  /** `maxSockets` is the maximum number of connections to one address. */
  constructor(maxSockets: number) {
    this.agent = new http.Agent({
      keepAlive: true,
      maxSockets,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      // The most recently used connection is the least likely to have been closed by the server.
      scheduling: "lifo",
      timeout: 0,
    });
  }

  call(
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<ClientResponse> {
    // Node.js writes a string body together with the headers in one piece, which it does not do with a buffer.
    const payload = body === undefined ? undefined : JSON.stringify(body);
    const headers: http.OutgoingHttpHeaders = {};
    if (payload) {
      headers["Content-Type"] = "application/json";
      headers["Content-Length"] = Buffer.byteLength(payload);
    }
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      const request = http.request({ host, port, method, path, headers, agent: this.agent });
      new PendingRequest(address, request, resolve, reject).start(payload, timeoutMs);
    });
  }

  /** Aborts all requests and closes all connections. */
  close(): void {
    this.agent.destroy();
  }
}

/** One request in flight. Owns its timeout, and settles the promise of the request exactly once. */
class PendingRequest {
  private isSettled = false;
  private isConnected = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly address: string,
    private readonly request: http.ClientRequest,
    private readonly resolve: (response: ClientResponse) => void,
    private readonly reject: (error: NoResponseError) => void,
  ) {}

  start(payload: string | undefined, timeoutMs: number): void {
    const { address, request } = this;
    this.timer = setTimeout(() => this.fail(`no response from ${address} within ${timeoutMs} ms`), timeoutMs);
    request.on("socket", (socket) => {
      if (!socket.connecting) this.isConnected = true;
      else socket.once("connect", () => (this.isConnected = true));
    });
    request.on("error", (error) => this.fail(`${address}: ${error.message}`));
    request.on("response", (response) => this.receive(response));
    request.end(payload);
  }

  private receive(response: http.IncomingMessage): void {
    const chunks: Buffer[] = [];
    response.on("data", (chunk: Buffer) => chunks.push(chunk));
    response.on("error", (error) => this.fail(`${this.address}: ${error.message}`));
    response.on("aborted", () =>
      this.fail(`${this.address}: connection closed before the response was complete`),
    );
    response.on("end", () => this.finish(response.statusCode ?? 0, Buffer.concat(chunks).toString("utf8")));
  }

  private finish(status: number, text: string): void {
    if (this.isSettled) return;
    let body: unknown = null;
    try {
      if (text !== "") body = JSON.parse(text) as unknown;
    } catch {
      this.fail(`${this.address}: response is not JSON`);
      return;
    }
    this.settle();
    this.resolve({ status, body });
  }

  private fail(reason: string): void {
    if (this.isSettled) return;
    this.settle();
    this.request.destroy();
    this.reject(new NoResponseError(reason, !this.isConnected));
  }

  private settle(): void {
    this.isSettled = true;
    clearTimeout(this.timer);
  }
}
