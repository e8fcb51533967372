import assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import test from "node:test";
import { HttpClient, NoResponseError, type ClientResponse } from "../src/transport/httpClient.js";
import { startHttpServer } from "../src/transport/httpServer.js";

type Ending = "end" | "reset";

/** Sends the bytes, half-closes or resets the connection, and resolves with the first line of the response. */
function sendRaw(port: number, bytes: string, ending: Ending): Promise<string> {
  return new Promise((resolve) => {
    let received = "";
    const socket = net.connect(port, "127.0.0.1", () => {
      socket.write(bytes);
      if (ending === "reset") setImmediate(() => socket.resetAndDestroy());
      else socket.end();
    });
    socket.on("data", (chunk: Buffer) => (received += chunk.toString()));
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(received.split("\r\n")[0] ?? ""));
  });
}

const MAX_BODY_BYTES = 100;
const HEADERS = "Host: x\r\nConnection: close";

function post(path: string, contentLength: number, body: string): string {
  return `POST ${path} HTTP/1.1\r\n${HEADERS}\r\nContent-Length: ${contentLength}\r\n\r\n${body}`;
}

/** Returns a request with a chunked body, whose length no header announces. */
function postChunked(body: string): string {
  const chunk = `${body.length.toString(16)}\r\n${body}\r\n`;
  return `POST / HTTP/1.1\r\n${HEADERS}\r\nTransfer-Encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`;
}

test("the server responds to valid and invalid requests, and goes on to serve later ones", async () => {
  const server = await startHttpServer({
    listen: "127.0.0.1:0",
    maxBodyBytes: MAX_BODY_BYTES,
    maxConnections: 50,
    handler: (request, reply) => {
      if (request.path === "/throw") throw new Error("thrown by the test handler");
      reply({ status: 200, body: { length: request.body.length } });
      reply({ status: 500, body: "a second response is ignored" });
    },
    onError: () => undefined,
  });
  const { port } = server.address() as net.AddressInfo;
  const oversized = "x".repeat(MAX_BODY_BYTES + 1);
  const cases: { name: string; bytes: string; ending?: Ending; firstLine: RegExp }[] = [
    { name: "a request", bytes: post("/", 3, "abc"), firstLine: /^HTTP\/1\.1 200/ },
    {
      name: "a body over the limit, with its length in a header",
      bytes: post("/", oversized.length, oversized),
      firstLine: /^HTTP\/1\.1 413/,
    },
    {
      name: "a chunked body over the limit",
      bytes: postChunked("x".repeat(2 * MAX_BODY_BYTES)),
      firstLine: /^HTTP\/1\.1 413/,
    },
    { name: "data that is not HTTP", bytes: "hello there\r\n\r\n", firstLine: /^HTTP\/1\.1 400/ },
    {
      name: "an incomplete request, then the end of the stream",
      bytes: post("/", 50, "abc"),
      firstLine: /^(HTTP\/1\.1 400.*)?$/,
    },
    {
      name: "an incomplete request, then a reset",
      bytes: post("/", 50, "abc"),
      ending: "reset",
      firstLine: /^$/,
    },
    { name: "a handler that throws", bytes: post("/throw", 0, ""), firstLine: /^HTTP\/1\.1 500/ },
    { name: "a request after the invalid ones", bytes: post("/", 0, ""), firstLine: /^HTTP\/1\.1 200/ },
  ];
  for (const { name, bytes, ending = "end", firstLine } of cases) {
    assert.match(await sendRaw(port, bytes, ending), firstLine, name);
  }
  server.closeAllConnections();
  server.close();
});

async function startBareServer(onRequest: http.RequestListener): Promise<{ address: string; close(): void }> {
  const server = http.createServer(onRequest);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

test("the client resolves with any complete response, and otherwise reports whether the request may have been sent", async () => {
  const server = await startBareServer((request, response) => {
    if (request.url === "/echo") request.pipe(response.writeHead(404));
    else if (request.url === "/empty") response.end();
    else if (request.url === "/garbage") response.end("{");
    else if (request.url === "/cut")
      response.writeHead(200, { "Content-Length": 10 }).write("{", () => response.destroy());
  });
  const client = new HttpClient(1);
  const call = (path: string, body?: unknown): Promise<ClientResponse> =>
    client.call(server.address, "POST", path, body, path === "/silence" ? 50 : 10_000);
  assert.deepEqual(await call("/echo", { key: "value" }), { status: 404, body: { key: "value" } });
  assert.deepEqual(await call("/empty"), { status: 200, body: null });
  for (const path of ["/garbage", "/cut", "/silence"]) {
    await assert.rejects(call(path), (error) => error instanceof NoResponseError && !error.neverSent, path);
  }
  server.close();
  await assert.rejects(
    call("/echo"),
    (error) => error instanceof NoResponseError && error.neverSent,
    "a refused connection",
  );
  client.close();
});
