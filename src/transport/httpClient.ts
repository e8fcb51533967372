import * as http from "node:http";

export interface ClientResponse {
  status: number;
  body: unknown;
}

/** No answer came: the request may or may not have been carried out, now or later. */
export class NoResponseError extends Error {
  /** True when the connection was never made, so that nothing can have been sent. */
  constructor(
    reason: string,
    readonly neverSent: boolean,
  ) {
    super(reason);
  }
}

export interface HttpCaller {
  /** Resolves with any answer whatever its status; rejects with NoAnswer. */
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

  constructor(maxSockets: number) {
    this.agent = new http.Agent({
      keepAlive: true,
      maxSockets,
      maxFreeSockets: 2,
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
    const at = address.lastIndexOf(":");
    // A string, not a buffer: it goes out together with the headers, in one piece.
    const payload = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve, reject) => {
      let settled = false;
      let connected = false;
      const fail = (reason: string): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        request.destroy();
        reject(new NoResponseError(reason, !connected));
      };
      const headers: http.OutgoingHttpHeaders = {};
      if (payload) {
        headers["Content-Type"] = "application/json";
        headers["Content-Length"] = Buffer.byteLength(payload);
      }
      const request = http.request({
        host: address.slice(0, at),
        port: Number(address.slice(at + 1)),
        method,
        path,
        headers,
        agent: this.agent,
      });
      const timer = setTimeout(() => fail(`no answer from ${address} within ${timeoutMs} ms`), timeoutMs);
      request.on("socket", (socket) => {
        if (!socket.connecting) connected = true;
        else socket.once("connect", () => (connected = true));
      });
      request.on("error", (error) => fail(`${address}: ${error.message}`));
      request.on("response", (response) => {
        const parts: Buffer[] = [];
        response.on("data", (part: Buffer) => parts.push(part));
        response.on("error", (error) => fail(`${address}: ${error.message}`));
        response.on("aborted", () => fail(`${address}: answer cut short`));
        response.on("end", () => {
          if (settled) return;
          let parsed: unknown = null;
          const text = Buffer.concat(parts).toString("utf8");
          try {
            parsed = text === "" ? null : (JSON.parse(text) as unknown);
          } catch {
            fail(`${address}: answer is not JSON`);
            return;
          }
          settled = true;
          clearTimeout(timer);
          resolve({ status: response.statusCode ?? 0, body: parsed });
        });
      });
      request.end(payload);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
