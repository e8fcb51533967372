/** The encoding of primitive values in the frames between controllers; integers and doubles are big-endian. */

const INITIAL_BYTES = 256;
/** The length of a string is encoded in two bytes. */
const MAX_STRING_BYTES = 0xffff;

/** Builds a frame field by field in a buffer that grows as needed. */
export class FrameWriter {
  private buffer = Buffer.allocUnsafe(INITIAL_BYTES);
  private offset = 0;

  uint8(value: number): this {
    this.reserve(1);
    this.buffer[this.offset++] = value;
    return this;
  }

  /** Writes one byte, 0 or 1. */
  boolean(value: boolean): this {
    return this.uint8(value ? 1 : 0);
  }

  /** Writes an integer in six bytes, which suffices for counts, terms and milliseconds: they stay below 2^48. */
  uint48(value: number): this {
    this.reserve(6);
    this.buffer.writeUIntBE(value, this.offset, 6);
    this.offset += 6;
    return this;
  }

  /** Writes an integer up to 2^53 as an eight-byte double. Fencing tokens and attempts of high terms exceed 2^48. */
  safeInteger(value: number): this {
    this.reserve(8);
    this.buffer.writeDoubleBE(value, this.offset);
    this.offset += 8;
    return this;
  }

  /** Writes a two-byte length and the UTF-8 encoding; throws a RangeError if the string is longer than 65,535 bytes. */
  string(value: string): this {
    const byteLength = Buffer.byteLength(value);
    if (byteLength > MAX_STRING_BYTES) throw new RangeError("string is longer than 65,535 bytes");
    this.reserve(2 + byteLength);
    this.buffer.writeUInt16BE(byteLength, this.offset);
    this.buffer.write(value, this.offset + 2, "utf8");
    this.offset += 2 + byteLength;
    return this;
  }

  /** Returns the frame. The writer must not be used afterwards. */
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
