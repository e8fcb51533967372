/** Codec of peer messages: the number of the kind in one byte, the sender's name, then the fields of that kind. */
import type { RecordCodec } from "./fieldCodecs.js";
import { FrameReader } from "./frameReader.js";
import { FrameWriter } from "./frameWriter.js";
import { BODY_CODECS, KIND_NUMBERS, type PeerMessageKind } from "./messageCodecs.js";
import { PEER_PROTOCOL_VERSION, type PeerMessage } from "./messages.js";

const KINDS_BY_NUMBER: PeerMessageKind[] = [];
for (const [kind, number] of Object.entries(KIND_NUMBERS)) KINDS_BY_NUMBER[number] = kind as PeerMessageKind;

/** Returns the codec of a kind's body. The caller must use it only with messages of that kind. */
function bodyCodec(kind: PeerMessageKind): RecordCodec<PeerMessage> {
  return BODY_CODECS[kind] as unknown as RecordCodec<PeerMessage>;
}

/** Encodes a message as the payload of a frame. Throws on a string over 65,535 bytes or a number out of range. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  const writer = new FrameWriter().uint8(KIND_NUMBERS[message.kind]).string(message.from);
  bodyCodec(message.kind).write(writer, message);
  return writer.finish();
}

/** Encodes the first message on each link, with this controller's protocol version. */
export function encodeHello(node: string): Buffer {
  return encodePeerMessage({ kind: "hello", from: node, version: PEER_PROTOCOL_VERSION });
}

/** Decodes the payload of a frame; null unless it is exactly one valid message. */
export function decodePeerMessage(payload: Buffer): PeerMessage | null {
  try {
    const reader = new FrameReader(payload);
    const kind = KINDS_BY_NUMBER[reader.uint8()];
    if (kind === undefined) return null;
    const message = { kind, from: reader.string() } as PeerMessage;
    bodyCodec(kind).readInto(reader, message);
    reader.expectEnd();
    return message;
  } catch {
    return null;
  }
}
