/** Reads the fields of a frame that a `FrameWriter` built. Each method throws a RangeError if the bytes are invalid. */
export class FrameReader {
  private offset = 0;

  constructor(private readonly buffer: Buffer) {}

  uint8(): number {
    return this.buffer.readUInt8(this.offset++);
  }

  boolean(): boolean {
    const value = this.uint8();
    if (value > 1) throw new RangeError("a boolean must be encoded as 0 or 1");
    return value === 1;
  }

  uint48(): number {
    this.offset += 6;
    return this.buffer.readUIntBE(this.offset - 6, 6);
  }

  safeInteger(): number {
    this.offset += 8;
    const value = this.buffer.readDoubleBE(this.offset - 8);
    if (!Number.isSafeInteger(value) || value < 0)
      throw new RangeError("value is not a non-negative safe integer");
    return value;
  }

  string(): string {
    const byteLength = this.buffer.readUInt16BE(this.offset);
    this.offset += 2 + byteLength;
    if (this.offset > this.buffer.length) throw new RangeError("string extends beyond the end of the frame");
    return this.buffer.toString("utf8", this.offset - byteLength, this.offset);
  }

  /** Reads the number of elements of a list; a number greater than the frame's length in bytes is invalid. */
  listLength(): number {
    const length = this.uint48();
    if (length > this.buffer.length) throw new RangeError("list length exceeds the length of the frame");
    return length;
  }

  /** Throws a RangeError unless the whole frame has been read. */
  expectEnd(): void {
    if (this.offset !== this.buffer.length)
      throw new RangeError("frame has bytes after the end of the message");
  }
}
