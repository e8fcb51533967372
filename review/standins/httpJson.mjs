/** Small helpers for HTTP/1.1 with JSON bodies, used by all stand-ins. */
import { Buffer } from "node:buffer";
import http from "node:http";
import { URL } from "node:url";

/** The protocol's bound on a request body. */
export const MAX_BODY_BYTES = 64 * 1024;

/** Starts a server on a free loopback port. `handler(request)` returns `{ status, body }`, a promise of it, or null. */
export function serveJson(handler, port = 0) {
  const server = http.createServer((request, response) => {
    const chunks = [];
    let size = 0;
    request.on("data", (chunk) => {
      size += chunk.length;
      if (size <= MAX_BODY_BYTES) chunks.push(chunk);
    });
    request.on("error", () => undefined);
    request.on("end", () => void answer(request, response, { chunks, size }, handler));
  });
  server.keepAliveTimeout = 0;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve({ server, port: server.address().port }));
  });
}

async function answer(request, response, { chunks, size }, handler) {
  let reply;
  if (size > MAX_BODY_BYTES) reply = { status: 400, body: { error: "body larger than 64 KiB" } };
  else {
    const url = new URL(request.url, "http://127.0.0.1");
    const body = parse(Buffer.concat(chunks).toString("utf8"));
    reply = await handler({
      method: request.method,
      path: url.pathname,
      query: url.searchParams,
      body,
      size,
    });
  }
  // A null reply means that the stand-in never answers this request.
  if (!reply || response.destroyed) return;
  const text = JSON.stringify(reply.body ?? {});
  response.writeHead(reply.status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(text),
  });
  response.end(text);
}

function parse(text) {
  try {
    return text === "" ? undefined : JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Sends a request. Resolves with `{ status, body }`, or with status 0 if there was no complete response in time. */
export function callJson(address, { method = "GET", path, body, timeoutMs = 5000, agent }) {
  const [host, port] = address.split(":");
  const payload = body === undefined ? undefined : JSON.stringify(body);
  const headers = payload === undefined ? {} : { "Content-Type": "application/json" };
  if (payload !== undefined) headers["Content-Length"] = Buffer.byteLength(payload);
  return new Promise((resolve) => {
    const request = http.request({ host, port: Number(port), method, path, headers, agent }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => resolve({ status: 0, body: null }));
      response.on("end", () =>
        resolve({ status: response.statusCode, body: parse(Buffer.concat(chunks).toString("utf8")) }),
      );
    });
    request.setTimeout(timeoutMs, () => request.destroy(new Error("timeout")));
    request.on("error", () => resolve({ status: 0, body: null }));
    request.end(payload);
  });
}
