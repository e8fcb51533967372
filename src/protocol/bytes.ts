/** Builds a frame field by field in one growing buffer. */
export class Writer {
  private b = Buffer.allocUnsafe(256);
  private at = 0;

  get size(): number {
    return this.at;
  }

  private room(n: number): void {
    if (this.at + n <= this.b.length) return;
    const bigger = Buffer.allocUnsafe(Math.max(this.b.length * 2, this.at + n));
    this.b.copy(bigger, 0, 0, this.at);
    this.b = bigger;
  }

  byte(n: number): this {
    this.room(1);
    this.b[this.at++] = n;
    return this;
  }

  /** Six bytes: terms, tokens, ticks and milliseconds stay below 2^48; a token of a late term may need seven. */
  number(n: number): this {
    this.room(6);
    this.b.writeUIntBE(n, this.at, 6);
    this.at += 6;
    return this;
  }

  /** Tokens and attempts: exact doubles up to 2^53. */
  big(n: number): this {
    this.room(8);
    this.b.writeDoubleBE(n, this.at);
    this.at += 8;
    return this;
  }

  text(s: string): this {
    const length = Buffer.byteLength(s);
    if (length > 0xffff) throw new RangeError("text too long for a frame");
    this.room(2 + length);
    this.b.writeUInt16BE(length, this.at);
    this.b.write(s, this.at + 2, "utf8");
    this.at += 2 + length;
    return this;
  }

  done(): Buffer {
    return this.b.subarray(0, this.at);
  }
}

/** Reads a frame back; whatever doesn't fit throws. */
export class Reader {
  private at = 0;
  constructor(private readonly b: Buffer) {}

  byte(): number {
    return this.b.readUInt8(this.at++);
  }

  flag(): boolean {
    const n = this.byte();
    if (n > 1) throw new RangeError("not a flag");
    return n === 1;
  }

  number(): number {
    this.at += 6;
    return this.b.readUIntBE(this.at - 6, 6);
  }

  big(): number {
    this.at += 8;
    const n = this.b.readDoubleBE(this.at - 8);
    if (!Number.isSafeInteger(n) || n < 0) throw new RangeError("not a count");
    return n;
  }

  text(): string {
    const length = this.b.readUInt16BE(this.at);
    this.at += 2 + length;
    if (this.at > this.b.length) throw new RangeError("frame too short");
    return this.b.toString("utf8", this.at - length, this.at);
  }

  /** A list whose length is said first; no longer than the frame could hold. */
  list<T>(read: (r: Reader) => T): T[] {
    const count = this.number();
    if (count > this.b.length) throw new RangeError("list longer than its frame");
    const out: T[] = [];
    for (let i = 0; i < count; i++) out.push(read(this));
    return out;
  }

  /** Nothing may follow. */
  end(): void {
    if (this.at !== this.b.length) throw new RangeError("bytes left over");
  }
}
