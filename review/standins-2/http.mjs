/** JSON over HTTP/1.1 for the stand-ins: a server that answers through a handler, and a client with a time limit. */
import { Buffer } from "node:buffer";
import http from "node:http";
import { clearTimeout, setTimeout } from "node:timers";
import { URL } from "node:url";

export const HOST = "127.0.0.1";
/** PROTOCOL: "A request body may be no larger than 64 KiB." */
export const MAX_BODY_BYTES = 64 * 1024;

/** Waits for the given time. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function parse(text) {
  try {
    return text === "" ? null : JSON.parse(text);
  } catch {
    return null;
  }
}

function answer(response, { status, body }) {
  if (response.destroyed) return;
  const payload = JSON.stringify(body ?? {});
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(payload),
  });
  response.end(payload);
}

/**
 * Starts a server on a free loopback port. `handle` gets the method, the URL and the parsed body, and returns the answer
 * or a promise of it; null means that no answer is sent. A body over 64 KiB gets 413.
 */
export function startServer(handle) {
  const server = http.createServer({ keepAliveTimeout: 120_000, requestTimeout: 0 }, (request, response) => {
    const chunks = [];
    request.on("error", () => undefined);
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", async () => {
      const body = Buffer.concat(chunks);
      if (body.length > MAX_BODY_BYTES) {
        handle({ method: request.method, url: new URL(request.url, "http://local"), tooLarge: body.length });
        answer(response, { status: 413, body: { error: "a request body may be no larger than 64 KiB" } });
        return;
      }
      const url = new URL(request.url, "http://local");
      const reply = await handle({ method: request.method, url, body: parse(body.toString("utf8")) });
      if (reply) answer(response, reply);
    });
  });
  server.on("clientError", (_error, socket) => socket.destroy());
  return new Promise((resolve) => {
    server.listen(0, HOST, () => resolve({ server, port: server.address().port }));
  });
}

/** Stops a server and closes its connections. */
export function stopServer({ server }) {
  server.close();
  server.closeAllConnections();
}

/** An HTTP client; resolves to `{status, body}`, with status 0 if there was no answer in time. */
export class Client {
  constructor(maxSockets = 4) {
    this.agent = new http.Agent({ keepAlive: true, maxSockets });
  }

  call(port, method, path, { body, timeoutMs = 5000 } = {}) {
    return new Promise((resolve) => {
      const payload = body === undefined ? "" : JSON.stringify(body);
      const headers = payload
        ? { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(payload) }
        : {};
      const request = http.request({ host: HOST, port, method, path, headers, agent: this.agent });
      let isOver = false;
      const finish = (result) => {
        if (isOver) return;
        isOver = true;
        clearTimeout(timer);
        if (result.status === 0) request.destroy();
        resolve(result);
      };
      const timer = setTimeout(
        () => finish({ status: 0, body: null, reason: "no answer in time" }),
        timeoutMs,
      );
      request.on("error", (error) => finish({ status: 0, body: null, reason: error.code ?? error.message }));
      request.on("response", (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", () => finish({ status: 0, body: null, reason: "cut off" }));
        response.on("end", () =>
          finish({ status: response.statusCode, body: parse(Buffer.concat(chunks).toString("utf8")) }),
        );
      });
      request.end(payload);
    });
  }

  close() {
    this.agent.destroy();
  }
}
