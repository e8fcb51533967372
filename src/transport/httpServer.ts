import * as http from "node:http";
import { splitAddress } from "./address.js";

export interface ServerRequest {
  method: string;
  /** Path without the query. */
  path: string;
  /** The raw body; at most `maxBody` bytes. */
  body: Buffer;
}

export interface ServerResponse {
  status: number;
  body: unknown;
  headers?: Record<string, string>;
}

/** Answers through `reply`, exactly once; later calls do nothing. */
export type RequestHandler = (request: ServerRequest, reply: (answer: ServerResponse) => void) => void;

export interface HttpServerOptions {
  listen: string;
  maxBodyBytes: number;
  maxConnections: number;
  handler: RequestHandler;
  onError: (error: Error) => void;
}

/**
 * The one HTTP server of a controller. A half-sent request is given up after a while, a body over the limit
 * is refused without reading on, and an exception in a handler becomes a 500 for that request alone.
 */
export function startHttpServer(options: HttpServerOptions): Promise<http.Server> {
  const server = http.createServer(
    { keepAliveTimeout: 75_000, requestTimeout: 15_000 },
    (request, response) => {
      let answered = false;
      const reply = (answer: ServerResponse): void => {
        if (answered) return;
        answered = true;
        if (response.destroyed) return;
        // A string, not a buffer: it goes out together with the headers, in one piece.
        const payload = JSON.stringify(answer.body ?? {});
        response.writeHead(answer.status, {
          "Content-Type": "application/json",
          "Content-Length": Buffer.byteLength(payload),
          ...answer.headers,
        });
        response.end(payload);
      };
      const parts: Buffer[] = [];
      let size = 0;
      const tooLarge = (): void => {
        reply({ status: 413, body: { error: "body too large" }, headers: { Connection: "close" } });
        request.removeAllListeners("data");
        request.resume();
      };
      if (Number(request.headers["content-length"] ?? 0) > options.maxBodyBytes) {
        tooLarge();
        return;
      }
      request.on("data", (part: Buffer) => {
        size += part.length;
        if (size > options.maxBodyBytes) tooLarge();
        else parts.push(part);
      });
      request.on("error", () => (answered = true));
      request.on("end", () => {
        if (answered) return;
        const url = request.url ?? "/";
        const query = url.indexOf("?");
        try {
          options.handler(
            {
              method: request.method ?? "GET",
              path: query < 0 ? url : url.slice(0, query),
              body: parts.length === 1 ? parts[0]! : Buffer.concat(parts),
            },
            reply,
          );
        } catch (error) {
          options.onError(error as Error);
          reply({ status: 500, body: { error: "internal error" } });
        }
      });
    },
  );
  server.maxConnections = options.maxConnections;
  server.on("clientError", (_error, socket) => {
    if (socket.writable)
      socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    else socket.destroy();
  });
  return new Promise((resolve, reject) => {
    const { host, port } = splitAddress(options.listen);
    server.once("error", reject);
    server.listen({ host, port, backlog: 511 }, () => {
      server.off("error", reject);
      server.on("error", options.onError);
      resolve(server);
    });
  });
}
