/** Codecs of the field types of peer messages, and combinators for lists, records and nullable values. */
import type { FrameReader } from "./frameReader.js";
import type { FrameWriter } from "./frameWriter.js";

/** The encoding of a value in a frame. `read` decodes what `write` encoded, and throws if the bytes are invalid. */
export interface Codec<T> {
  write(writer: FrameWriter, value: T): void;
  read(reader: FrameReader): T;
}

/** An integer from 0 to 2^48 - 1, in six bytes. */
export const uint48: Codec<number> = {
  write: (writer, value) => void writer.uint48(value),
  read: (reader) => reader.uint48(),
};

/** An integer from 0 to 2^53 - 1, as a double in eight bytes. */
export const safeInteger: Codec<number> = {
  write: (writer, value) => void writer.safeInteger(value),
  read: (reader) => reader.safeInteger(),
};

/** A boolean, as one byte that is 0 or 1. */
export const boolean: Codec<boolean> = {
  write: (writer, value) => void writer.boolean(value),
  read: (reader) => reader.boolean(),
};

/** A string: its length in bytes as two bytes, then its UTF-8 encoding. */
export const string: Codec<string> = {
  write: (writer, value) => void writer.string(value),
  read: (reader) => reader.string(),
};

const MS_PER_S = 1000;

/** A duration in seconds, rounded to whole milliseconds and encoded as a `uint48`. */
export const seconds: Codec<number> = {
  write: (writer, value) => void writer.uint48(Math.round(value * MS_PER_S)),
  read: (reader) => reader.uint48() / MS_PER_S,
};

/** A time of day, as milliseconds since the Unix epoch in a `uint48`. */
export const timestamp: Codec<Date> = {
  write: (writer, value) => void writer.uint48(value.getTime()),
  read: (reader) => new Date(reader.uint48()),
};

/** One of the listed values, as its index in one byte. New values must be added at the end to keep the indexes. */
export function oneOf<T>(values: readonly T[]): Codec<T> {
  return {
    write: (writer, value) => void writer.uint8(values.indexOf(value)),
    read(reader) {
      const index = reader.uint8();
      if (index >= values.length) throw new RangeError("value index is out of range");
      return values[index]!;
    },
  };
}

/** A value or null: a boolean that is true if a value follows, then the value. */
export function nullable<T>(codec: Codec<T>): Codec<T | null> {
  return {
    write(writer, value) {
      writer.boolean(value !== null);
      if (value !== null) codec.write(writer, value);
    },
    read: (reader) => (reader.boolean() ? codec.read(reader) : null),
  };
}

/** A list: the number of its elements, then the elements. */
export function listOf<T>(element: Codec<T>): Codec<T[]> {
  return {
    write(writer, values) {
      writer.uint48(values.length);
      for (const value of values) element.write(writer, value);
    },
    read(reader) {
      const length = reader.listLength();
      const values: T[] = [];
      for (let index = 0; index < length; index++) values.push(element.read(reader));
      return values;
    },
  };
}

/** A codec for each field. The order of the properties is the order of the fields in the frame. */
export type FieldCodecs<T> = { readonly [Field in keyof T]-?: Codec<T[Field]> };

/** Codec of an object whose fields are encoded in a fixed order. */
export interface RecordCodec<T> extends Codec<T> {
  /** Reads the fields into an existing object, whose other fields it leaves unchanged. */
  readInto(reader: FrameReader, target: Partial<T>): void;
}

/** Builds the codec of an object: its fields one after another, without names or padding. */
export function record<T extends object>(fieldCodecs: FieldCodecs<T>): RecordCodec<T> {
  const fields = Object.keys(fieldCodecs) as (keyof T)[];
  const codecs = fields.map((field) => fieldCodecs[field]);
  const readInto = (reader: FrameReader, target: Partial<T>): void => {
    for (let index = 0; index < fields.length; index++) target[fields[index]!] = codecs[index]!.read(reader);
  };
  return {
    write(writer, value) {
      for (let index = 0; index < fields.length; index++) codecs[index]!.write(writer, value[fields[index]!]);
    },
    read(reader) {
      const target: Partial<T> = {};
      readInto(reader, target);
      return target as T;
    },
    readInto,
  };
}
