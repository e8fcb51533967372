/** Framing of a byte stream. A frame is its payload's length as a 4-byte big-endian integer, then the payload. */

const LENGTH_BYTES = 4;
/** A longer payload is not sent, and a received frame that announces one is invalid. */
export const MAX_PAYLOAD_BYTES = 256 * 1024;

/** Splits a byte stream into the payloads of its frames; chunks of the stream may begin and end anywhere in a frame. */
export class FrameDecoder {
  private buffered: Buffer = Buffer.alloc(0);

  /** Returns the payloads that this chunk completes, or null if a frame is too long, which makes the stream invalid. */
  push(chunk: Buffer): Buffer[] | null {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const payloads: Buffer[] = [];
    while (this.buffered.length >= LENGTH_BYTES) {
      const end = LENGTH_BYTES + this.buffered.readUInt32BE(0);
      if (end > LENGTH_BYTES + MAX_PAYLOAD_BYTES) return null;
      if (this.buffered.length < end) break;
      payloads.push(this.buffered.subarray(LENGTH_BYTES, end));
      this.buffered = this.buffered.subarray(end);
    }
    return payloads;
  }
}

/** Encodes a frame: the payload's length, then the payload. */
export function encodeFrame(payload: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, LENGTH_BYTES);
  return frame;
}
