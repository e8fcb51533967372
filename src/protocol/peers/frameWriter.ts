/** Writes the fields of a frame between controllers; numbers are big-endian. */

const INITIAL_BYTES = 256;
/** A string's length takes two bytes. */
const MAX_STRING_BYTES = 0xffff;

/** Builds a frame field by field, big-endian, in one growing buffer. */
export class FrameWriter {
  private buffer = Buffer.allocUnsafe(INITIAL_BYTES);
  private offset = 0;

  uint8(value: number): this {
    this.reserve(1);
    this.buffer[this.offset++] = value;
    return this;
  }

  /** One byte, 0 or 1. */
  boolean(value: boolean): this {
    return this.uint8(value ? 1 : 0);
  }

  /** Six bytes: counts, terms and milliseconds stay below 2^48. */
  uint48(value: number): this {
    this.reserve(6);
    this.buffer.writeUIntBE(value, this.offset, 6);
    this.offset += 6;
    return this;
  }

  /** An integer up to 2^53, as an eight-byte double: fencing tokens and attempts of late terms pass 2^48. */
  safeInteger(value: number): this {
    this.reserve(8);
    this.buffer.writeDoubleBE(value, this.offset);
    this.offset += 8;
    return this;
  }

  /** UTF-8 behind a two-byte length; a longer string throws a RangeError. */
  string(value: string): this {
    const byteLength = Buffer.byteLength(value);
    if (byteLength > MAX_STRING_BYTES) throw new RangeError("text too long for a frame");
    this.reserve(2 + byteLength);
    this.buffer.writeUInt16BE(byteLength, this.offset);
    this.buffer.write(value, this.offset + 2, "utf8");
    this.offset += 2 + byteLength;
    return this;
  }

  /** The frame so far; the writer must not be used after this. */
  finish(): Buffer {
    return this.buffer.subarray(0, this.offset);
  }

  private reserve(byteLength: number): void {
    if (this.offset + byteLength <= this.buffer.length) return;
    const larger = Buffer.allocUnsafe(Math.max(this.buffer.length * 2, this.offset + byteLength));
    this.buffer.copy(larger, 0, 0, this.offset);
    this.buffer = larger;
  }
}
