/** A TCP proxy on one way between two controllers. While it holds, nothing passes; what came meanwhile passes later. */
import net from "node:net";
import { HOST } from "./http.mjs";

export class Proxy {
  constructor(port) {
    this.port = port;
    this.isHolding = false;
    this.held = [];
    this.sockets = new Set();
  }

  start() {
    this.server = net.createServer((from) => this.accept(from));
    return new Promise((resolve) => this.server.listen(0, HOST, () => resolve(this.server.address().port)));
  }

  accept(from) {
    const to = net.connect(this.port, HOST);
    this.pipe(from, to);
    this.pipe(to, from);
  }

  pipe(from, to) {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on("error", () => undefined);
    from.on("data", (chunk) => this.pass(() => to.destroyed || to.write(chunk)));
    from.on("close", () => this.pass(() => to.destroy()));
  }

  pass(action) {
    if (this.isHolding) this.held.push(action);
    else action();
  }

  hold() {
    this.isHolding = true;
  }

  release() {
    this.isHolding = false;
    for (const action of this.held.splice(0)) action();
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
