/** What the command line's arguments mean. */
import { parseArgs } from "node:util";

/** The command line can't be understood; the message says why. */
export class UsageError extends Error {}

/** The arguments, sorted but not yet checked against a command. */
export interface Arguments {
  /** The command and what follows it. */
  positionals: string[];
  /** Path of the platform's settings. */
  config?: string;
  /** Path of the operators' settings. */
  operator?: string;
  /** Address of the controller or load balancer that a job command talks to. */
  server?: string;
  help?: boolean;
  version?: boolean;
}

/** @throws UsageError for an unknown option or one without its value. */
export function parseArguments(argv: string[]): Arguments {
  try {
    const { values, positionals } = parseArgs({
      args: argv,
      allowPositionals: true,
      options: {
        config: { type: "string" },
        operator: { type: "string" },
        server: { type: "string" },
        help: { type: "boolean", short: "h" },
        version: { type: "boolean", short: "V" },
      },
    });
    return { ...values, positionals };
  } catch (error) {
    throw new UsageError((error as Error).message, { cause: error });
  }
}

/** For commands that take nothing but options. */
export function refuseOperands(operands: string[]): void {
  if (operands.length > 0) throw new UsageError(`unexpected argument ${JSON.stringify(operands[0])}`);
}
