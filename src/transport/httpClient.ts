/** HTTP requests of a controller to the state store, the cloud and the workers: JSON both ways, over kept connections. */
import * as http from "node:http";
import { splitAddress } from "./address.js";

/** Connections to one address that are kept open while idle. */
const MAX_IDLE_SOCKETS = 2;

/** A response that came back whole. */
export interface ClientResponse {
  status: number;
  /** The parsed JSON; null for an empty body. */
  body: unknown;
}

/** No whole response came: the request may or may not have been executed, now or later. */
export class NoResponseError extends Error {
  constructor(
    reason: string,
    /** The connection was never made, so nothing can have been sent. */
    readonly neverSent: boolean,
  ) {
    super(reason);
  }
}

/** Sends HTTP requests; rejects with `NoResponseError` when no response came back. */
export interface HttpCaller {
  /** Resolves with any response whatever its status; rejects with a `NoResponseError`. */
  call(
    address: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<ClientResponse>;
}

/** Keeps connections open, one request at a time on each, a few for each address. */
export class HttpClient implements HttpCaller {
  private readonly agent: http.Agent;

  /** No more than `maxSockets` connections to one address. */
  constructor(maxSockets: number) {
    this.agent = new http.Agent({
      keepAlive: true,
      maxSockets,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      // The connection used last is the least likely to be closed by the other side.
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
    // A string, not a buffer: it goes out together with the headers, in one piece.
    const payload = body === undefined ? undefined : JSON.stringify(body);
    const headers: http.OutgoingHttpHeaders = {};
    if (payload) {
      headers["Content-Type"] = "application/json";
      headers["Content-Length"] = Buffer.byteLength(payload);
    }
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      const request = http.request({ host, port, method, path, headers, agent: this.agent });
      new Call(address, request, resolve, reject).start(payload, timeoutMs);
    });
  }

  /** Breaks off all requests and closes all connections. */
  close(): void {
    this.agent.destroy();
  }
}

/** One request on its way; owns its timer, and settles once. */
class Call {
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
    const parts: Buffer[] = [];
    response.on("data", (part: Buffer) => parts.push(part));
    response.on("error", (error) => this.fail(`${this.address}: ${error.message}`));
    response.on("aborted", () => this.fail(`${this.address}: response cut short`));
    response.on("end", () => this.finish(response.statusCode ?? 0, Buffer.concat(parts).toString("utf8")));
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
