/** What controllers say to each other, byte by byte: kind, sender, then the kind's own fields. */
export type PeerMessage =
  /** May the leader of this term go on acknowledging reports? */
  | { kind: "vouch?"; from: string; term: number; ask: number }
  | { kind: "vouch"; from: string; term: number; ask: number; yes: boolean }
  /** I lead this term: vouch for no earlier one from now on. */
  | { kind: "confirm?"; from: string; term: number }
  | { kind: "confirm"; from: string; term: number }
  /** Counts for display only. */
  | { kind: "tally"; from: string; term: number; jobs: { id: string; done: number; running: number }[] }
  /** A change to live jobs has been committed here: look now. */
  | { kind: "nudge"; from: string }
  /** These machines report to me, and I sent them to the leader. */
  | { kind: "astray"; from: string; machines: number };

const KINDS: PeerMessage["kind"][] = ["vouch?", "vouch", "confirm?", "confirm", "tally", "nudge", "astray"];

class Writer {
  private parts: Buffer[] = [];
  byte(n: number): this {
    this.parts.push(Buffer.from([n]));
    return this;
  }
  /** Six bytes: terms and asks stay far below 2^48. */
  number(n: number): this {
    const b = Buffer.allocUnsafe(6);
    b.writeUIntBE(n, 0, 6);
    this.parts.push(b);
    return this;
  }
  text(s: string): this {
    const b = Buffer.from(s, "utf8");
    const length = Buffer.allocUnsafe(2);
    length.writeUInt16BE(b.length, 0);
    this.parts.push(length, b);
    return this;
  }
  done(): Buffer {
    return Buffer.concat(this.parts);
  }
}

class Reader {
  private at = 0;
  constructor(private readonly b: Buffer) {}
  byte(): number {
    return this.b.readUInt8(this.at++);
  }
  number(): number {
    this.at += 6;
    return this.b.readUIntBE(this.at - 6, 6);
  }
  text(): string {
    const length = this.b.readUInt16BE(this.at);
    this.at += 2 + length;
    if (this.at > this.b.length) throw new RangeError("frame too short");
    return this.b.toString("utf8", this.at - length, this.at);
  }
}

export function encodePeer(message: PeerMessage): Buffer {
  const w = new Writer().byte(KINDS.indexOf(message.kind)).text(message.from);
  switch (message.kind) {
    case "vouch?":
      return w.number(message.term).number(message.ask).done();
    case "vouch":
      return w
        .number(message.term)
        .number(message.ask)
        .byte(message.yes ? 1 : 0)
        .done();
    case "confirm?":
    case "confirm":
      return w.number(message.term).done();
    case "tally":
      w.number(message.term).number(message.jobs.length);
      for (const job of message.jobs) w.text(job.id).number(job.done).number(job.running);
      return w.done();
    case "nudge":
      return w.done();
    case "astray":
      return w.number(message.machines).done();
  }
}

/** Null for anything that isn't one of our messages. */
export function decodePeer(frame: Buffer): PeerMessage | null {
  try {
    const r = new Reader(frame);
    const kind = KINDS[r.byte()];
    const from = r.text();
    switch (kind) {
      case "vouch?":
        return { kind, from, term: r.number(), ask: r.number() };
      case "vouch":
        return { kind, from, term: r.number(), ask: r.number(), yes: r.byte() === 1 };
      case "confirm?":
      case "confirm":
        return { kind, from, term: r.number() };
      case "tally": {
        const term = r.number();
        const count = r.number();
        const jobs = [];
        for (let i = 0; i < count; i++) jobs.push({ id: r.text(), done: r.number(), running: r.number() });
        return { kind, from, term, jobs };
      }
      case "nudge":
        return { kind, from };
      case "astray":
        return { kind, from, machines: r.number() };
      default:
        return null;
    }
  } catch {
    return null;
  }
}
