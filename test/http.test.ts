import assert from "node:assert/strict";
import * as net from "node:net";
import test from "node:test";
import { startHttpServer } from "../src/transport/httpServer.js";

/** Sends raw bytes, half-closes or resets, and returns the answer's first line. */
function raw(port: number, text: string, end: "end" | "reset"): Promise<string> {
  return new Promise((resolve) => {
    let got = "";
    const socket = net.connect(port, "127.0.0.1", () => {
      socket.write(text);
      if (end === "reset") setImmediate(() => socket.resetAndDestroy());
      else socket.end();
    });
    socket.on("data", (d: Buffer) => (got += d.toString()));
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(got.split("\r\n")[0] ?? ""));
  });
}

test("whatever arrives on a connection is answered, and the server goes on", async () => {
  const server = await startHttpServer({
    listen: "127.0.0.1:0",
    maxBodyBytes: 100,
    maxConnections: 50,
    handler: (request, reply) => {
      if (request.path === "/throw") throw new Error("on purpose");
      reply({ status: 200, body: { length: request.body.length } });
      reply({ status: 500, body: "a second answer does nothing" });
    },
    onError: () => undefined,
  });
  const { port } = server.address() as net.AddressInfo;
  const post = (path: string, length: number, body: string): string =>
    `POST ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: ${length}\r\nConnection: close\r\n\r\n${body}`;
  const chunked = `POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\nc8\r\n${"x".repeat(200)}\r\n0\r\n\r\n`;
  const cases: [string, string, "end" | "reset", RegExp][] = [
    ["a request", post("/", 3, "abc"), "end", /^HTTP\/1\.1 200/],
    ["a body over the limit, announced", post("/", 101, "x".repeat(101)), "end", /^HTTP\/1\.1 413/],
    ["a body over the limit, not announced", chunked, "end", /^HTTP\/1\.1 413/],
    ["no HTTP at all", "hello there\r\n\r\n", "end", /^HTTP\/1\.1 400/],
    ["half a request, then the end", post("/", 50, "abc"), "end", /^(HTTP\/1\.1 400.*)?$/],
    ["half a request, then a reset", post("/", 50, "abc"), "reset", /^$/],
    ["a handler that fails", post("/throw", 0, ""), "end", /^HTTP\/1\.1 500/],
    ["a request after all that", post("/", 0, ""), "end", /^HTTP\/1\.1 200/],
  ];
  for (const [name, text, end, want] of cases) assert.match(await raw(port, text, end), want, name);
  server.closeAllConnections();
  server.close();
});
