/** The frames between controllers: the number of the kind (one byte), the sender's name, then the kind's own fields. */
import type { RecordCodec } from "./fieldCodecs.js";
import { FrameReader } from "./frameReader.js";
import { FrameWriter } from "./frameWriter.js";
import { BODY_CODECS, KIND_NUMBERS, type PeerMessageKind } from "./messageCodecs.js";
import { PEER_PROTOCOL_VERSION, type PeerMessage } from "./messages.js";

const KINDS: PeerMessageKind[] = [];
for (const [kind, number] of Object.entries(KIND_NUMBERS)) KINDS[number] = kind as PeerMessageKind;

/** The codec of a kind's body; that it takes just this kind's messages is for the callers to see to. */
function bodyCodec(kind: PeerMessageKind): RecordCodec<PeerMessage> {
  return BODY_CODECS[kind] as unknown as RecordCodec<PeerMessage>;
}

/** The payload of a frame; a string longer than 65,535 bytes, or a number out of its field's range, throws. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  const writer = new FrameWriter().uint8(KIND_NUMBERS[message.kind]).string(message.from);
  bodyCodec(message.kind).write(writer, message);
  return writer.finish();
}

/** The first frame on each link, as a controller of this version sends it. */
export function encodeHello(node: string): Buffer {
  return encodePeerMessage({ kind: "hello", from: node, version: PEER_PROTOCOL_VERSION });
}

/** Null for anything that isn't exactly one message of this protocol. */
export function decodePeerMessage(payload: Buffer): PeerMessage | null {
  try {
    const reader = new FrameReader(payload);
    const kind = KINDS[reader.uint8()];
    if (kind === undefined) return null;
    const message = { kind, from: reader.string() } as PeerMessage;
    bodyCodec(kind).readInto(reader, message);
    reader.expectEnd();
    return message;
  } catch {
    return null;
  }
}
