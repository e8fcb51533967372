/** Reads a text file that a person has named, and says in words why it can't be read. */
import { readFileSync } from "node:fs";

/** The system's error codes in words. */
const REASONS: Record<string, string> = {
  ENOENT: "no such file",
  EISDIR: "is a folder, not a file",
  ENOTDIR: "no such file: a part of its path is not a folder",
  EACCES: "this user may not read it",
  EPERM: "this user may not read it",
};

/** The message names the file as it was given, and the reason. */
export class UnreadableFileError extends Error {}

/** @throws UnreadableFileError */
export function readTextFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    throw new UnreadableFileError(`${path}: ${REASONS[code ?? ""] ?? message}`, { cause: error });
  }
}
