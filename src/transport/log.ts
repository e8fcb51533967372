/** The log of the process. After a call of `configureLog`, log lines go to standard error at the configured level. */
import loglevel from "loglevel";

/** The log levels, from least to most verbose; each level includes those before it. */
export type LogLevel = "error" | "info" | "debug";

const LEVELS: Record<string, LogLevel> = { error: "error", info: "info", debug: "debug" };
const DEFAULT_LEVEL: LogLevel = "info";
/** A name that can't be taken for several words, or for a part of a log line. */
const PLAIN_NAME = /^[\p{L}\p{N}_.:/+@-]+$/u;

/** Sets the log level and the node name that each line contains; the default and an unknown level mean `info`. */
export function configureLog(level: string | undefined, nodeName: string): void {
  const node = quoteName(nodeName);
  loglevel.methodFactory =
    (method) =>
    (...parts: unknown[]) => {
      const text = parts.map(String).join(" ");
      process.stderr.write(`${new Date().toISOString()} ${method} ${node} ${text}\n`);
    };
  loglevel.setLevel(LEVELS[level ?? DEFAULT_LEVEL] ?? DEFAULT_LEVEL, false);
}

/** Writes log lines at the level of the method's name. */
export const log = {
  error: (text: string): void => loglevel.error(text),
  info: (text: string): void => loglevel.info(text),
  /** `text` is only called if debug lines are logged, so an expensive text costs nothing otherwise. */
  debug: (text: () => string): void => {
    if (loglevel.getLevel() <= loglevel.levels.DEBUG) loglevel.debug(text());
  },
};

/**
 * Returns a name from outside, such as that of a machine or zone, for a log line: unchanged if it is one plain word, else
 * as a JSON string.
 */
export function quoteName(name: string): string {
  return PLAIN_NAME.test(name) ? name : JSON.stringify(name);
}

/** Returns the text of an exception for a log line: its stack trace, if it has one. */
export function describeException(error: unknown): string {
  return String((error as Error | null | undefined)?.stack ?? error);
}
