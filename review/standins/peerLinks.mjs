/** The connections between controllers: a proxy for each ordered pair, which can refuse connections for a while. */
import net from "node:net";

class LinkProxy {
  constructor(targetAddress) {
    const [host, port] = targetAddress.split(":");
    this.target = { host, port: Number(port) };
    this.sockets = new Set();
  }

  async open(port = 0) {
    this.server = net.createServer((socket) => this.connect(socket));
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, "127.0.0.1", resolve);
    });
    this.port = this.server.address().port;
    this.address = `127.0.0.1:${this.port}`;
  }

  connect(socket) {
    const onward = net.connect(this.target);
    for (const [from, to] of [
      [socket, onward],
      [onward, socket],
    ]) {
      this.sockets.add(from);
      from.setNoDelay(true);
      from.on("data", (chunk) => to.write(chunk));
      from.on("error", () => undefined);
      from.on("close", () => {
        this.sockets.delete(from);
        to.destroy();
      });
    }
  }

  /** Ends all connections; new ones are refused. */
  refuse() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  accept() {
    return this.open(this.port);
  }
}

/** All links between the controllers. */
export class PeerLinks {
  constructor() {
    this.proxies = new Map();
  }

  async prepare(nodes) {
    for (const from of nodes)
      for (const to of nodes) {
        if (from === to) continue;
        const proxy = new LinkProxy(to.peerAddress);
        await proxy.open();
        this.proxies.set(`${from.name} ${to.name}`, proxy);
      }
  }

  addressOf(from, to) {
    return this.proxies.get(`${from.name} ${to.name}`).address;
  }

  refuseAll() {
    for (const proxy of this.proxies.values()) proxy.refuse();
  }

  async acceptAll() {
    for (const proxy of this.proxies.values()) await proxy.accept();
  }

  stop() {
    this.refuseAll();
  }
}
