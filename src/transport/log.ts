/** The process's log: one line each on standard error, from `configureLog` on at the chosen level. */
import loglevel from "loglevel";

/** How much is logged, each level including those before it. */
export type LogLevel = "error" | "info" | "debug";

const LEVELS: Record<string, LogLevel> = { error: "error", info: "info", debug: "debug" };
const DEFAULT_LEVEL: LogLevel = "info";

/** Sets level and node name of all log lines of this process; an unknown level counts as `info`. */
export function configureLog(level: string | undefined, nodeName: string): void {
  loglevel.methodFactory =
    (method) =>
    (...parts: unknown[]) => {
      const text = parts.map(String).join(" ");
      process.stderr.write(`${new Date().toISOString()} ${method} ${nodeName} ${text}\n`);
    };
  loglevel.setLevel(LEVELS[level ?? DEFAULT_LEVEL] ?? DEFAULT_LEVEL, false);
}

/** Writes log lines to standard error; text is given as a function where it costs something to make. */
export const log = {
  error: (text: string): void => loglevel.error(text),
  info: (text: string): void => loglevel.info(text),
  /** The text is only made when the level asks for it. */
  debug: (text: () => string): void => {
    if (loglevel.getLevel() <= loglevel.levels.DEBUG) loglevel.debug(text());
  },
};

/** An exception as text for a log line: with its stack where it has one. */
export function describeException(error: unknown): string {
  return String((error as Error | null | undefined)?.stack ?? error);
}
