/** Reads a frame that a `FrameWriter` built, field by field; whatever doesn't fit throws a RangeError. */
export class FrameReader {
  private offset = 0;

  constructor(private readonly buffer: Buffer) {}

  uint8(): number {
    return this.buffer.readUInt8(this.offset++);
  }

  boolean(): boolean {
    const value = this.uint8();
    if (value > 1) throw new RangeError("not a boolean");
    return value === 1;
  }

  uint48(): number {
    this.offset += 6;
    return this.buffer.readUIntBE(this.offset - 6, 6);
  }

  safeInteger(): number {
    this.offset += 8;
    const value = this.buffer.readDoubleBE(this.offset - 8);
    if (!Number.isSafeInteger(value) || value < 0) throw new RangeError("not a safe integer");
    return value;
  }

  string(): string {
    const byteLength = this.buffer.readUInt16BE(this.offset);
    this.offset += 2 + byteLength;
    if (this.offset > this.buffer.length) throw new RangeError("frame too short");
    return this.buffer.toString("utf8", this.offset - byteLength, this.offset);
  }

  /** The length of a list that follows; never more than the frame could hold. */
  listLength(): number {
    const length = this.uint48();
    if (length > this.buffer.length) throw new RangeError("list longer than its frame");
    return length;
  }

  /** Throws unless the whole frame has been read. */
  expectEnd(): void {
    if (this.offset !== this.buffer.length) throw new RangeError("bytes left over");
  }
}
