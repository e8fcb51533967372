/** Parses the arguments of the command line. */
import { parseArgs } from "node:util";

/** Invalid command line usage. The message names the argument at fault and the expectation. */
export class UsageError extends Error {}

/** The parsed arguments, not yet checked against a command's requirements. */
export interface Arguments {
  /** The command and its operands. */
  positionals: string[];
  /** Path of the platform's settings file. */
  config?: string;
  /** Path of the operators' settings file. */
  operator?: string;
  /** Address of the controller or load balancer that a job command sends its request to. */
  server?: string;
  help?: boolean;
  version?: boolean;
}

/**
 * Parses the arguments that follow the program's name.
 * @throws UsageError for an unknown option or an option without its value.
 */
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

/**
 * Checks the operands of a command that takes only options.
 * @throws UsageError if there is any operand.
 */
export function rejectOperands(operands: string[]): void {
  if (operands.length > 0) throw new UsageError(`unexpected argument ${JSON.stringify(operands[0])}`);
}
