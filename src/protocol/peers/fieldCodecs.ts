/** Codecs of the fields that peer messages consist of, and the ways to combine them. */
import type { FrameReader } from "./frameReader.js";
import type { FrameWriter } from "./frameWriter.js";

/** How a value stands in a frame; `read` gives back what `write` wrote, and throws when the bytes can't be that. */
export interface Codec<T> {
  write(writer: FrameWriter, value: T): void;
  read(reader: FrameReader): T;
}

/** A whole number from 0, below 2^48, in six bytes. */
export const uint48: Codec<number> = {
  write: (writer, value) => void writer.uint48(value),
  read: (reader) => reader.uint48(),
};

/** A whole number from 0 that is exact in a double, in eight bytes. */
export const safeInteger: Codec<number> = {
  write: (writer, value) => void writer.safeInteger(value),
  read: (reader) => reader.safeInteger(),
};

/** One byte: 0 or 1. */
export const boolean: Codec<boolean> = {
  write: (writer, value) => void writer.boolean(value),
  read: (reader) => reader.boolean(),
};

/** UTF-8 text with its length in two bytes before it. */
export const string: Codec<string> = {
  write: (writer, value) => void writer.string(value),
  read: (reader) => reader.string(),
};

const MS_PER_S = 1000;

/** Seconds, to the millisecond. */
export const seconds: Codec<number> = {
  write: (writer, value) => void writer.uint48(Math.round(value * MS_PER_S)),
  read: (reader) => reader.uint48() / MS_PER_S,
};

/** A time of day, to the millisecond. */
export const timestamp: Codec<Date> = {
  write: (writer, value) => void writer.uint48(value.getTime()),
  read: (reader) => new Date(reader.uint48()),
};

/** One of these values, as one byte: its index. Add new values at the end. */
export function oneOf<T>(values: readonly T[]): Codec<T> {
  return {
    write: (writer, value) => void writer.uint8(values.indexOf(value)),
    read(reader) {
      const index = reader.uint8();
      if (index >= values.length) throw new RangeError("no such value");
      return values[index]!;
    },
  };
}

/** A boolean that says whether the value follows. */
export function nullable<T>(codec: Codec<T>): Codec<T | null> {
  return {
    write(writer, value) {
      writer.boolean(value !== null);
      if (value !== null) codec.write(writer, value);
    },
    read: (reader) => (reader.boolean() ? codec.read(reader) : null),
  };
}

/** The number of elements, then each of them. */
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

/** A codec for each field; the order in which they are written here is their order in the frame. */
export type FieldCodecs<T> = { readonly [Field in keyof T]-?: Codec<T[Field]> };

/** Codec of a record whose fields follow one another in a fixed order. */
export interface RecordCodec<T> extends Codec<T> {
  /** Reads the fields into an object that has others already. */
  readInto(reader: FrameReader, target: Partial<T>): void;
}

/** An object: its fields one after the other, without names or padding. */
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
