/** Reads a text file that the command line names, with a readable error message if that fails. */
import { readFileSync } from "node:fs";

/** Error messages by the operating system's error code. */
const REASONS_BY_CODE: Record<string, string> = {
  ENOENT: "no such file",
  EISDIR: "is a directory, not a file",
  ENOTDIR: "no such file: a part of its path is not a directory",
  EACCES: "permission denied",
  EPERM: "permission denied",
};

/** A file that can't be read. The message has the path as given and the reason. */
export class UnreadableFileError extends Error {}

/**
 * Returns the file's text, decoded as UTF-8.
 * @throws UnreadableFileError if the file can't be read.
 */
export function readTextFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    throw new UnreadableFileError(`${path}: ${REASONS_BY_CODE[code ?? ""] ?? message}`, { cause: error });
  }
}
