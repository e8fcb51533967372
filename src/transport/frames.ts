/** Frames in a byte stream: a 4-byte big-endian length, then so many bytes of payload. */

const LENGTH_BYTES = 4;
/** Longer payloads are neither sent nor read. */
export const MAX_PAYLOAD_BYTES = 256 * 1024;

/** Splits a byte stream, which comes in parts cut anywhere, into the payloads of its frames. */
export class FrameDecoder {
  private buffered: Buffer = Buffer.alloc(0);

  /** The payloads that this part completes; null when a frame is too long, so that the stream can't be one of frames. */
  push(part: Buffer): Buffer[] | null {
    this.buffered = this.buffered.length === 0 ? part : Buffer.concat([this.buffered, part]);
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

/** The payload with its length in front of it. */
export function encodeFrame(payload: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, LENGTH_BYTES);
  return frame;
}
