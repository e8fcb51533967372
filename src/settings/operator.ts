/** The operators' own settings: an optional XML file over defaults. `docs/settings.md` describes each for operators. */
import type { SaxesTagPlain } from "saxes";
import { SettingsError } from "./settingsError.js";
import { readSettingsFile } from "./settingsFile.js";

/** The operators' settings. Durations are in seconds, loads are shares of a machine's capacity (1: all of it). */
export interface Operator {
  /** Load from which a machine belongs to the inner ring; half of it bounds the outer ring. */
  highLoadShare: number;
  /** Measured load above which a machine is relieved. Never below `highLoadShare`. */
  overloadShare: number;
  /** Time between two rounds of consolidation. */
  roundIntervalS: number;
  /** Moves of tasks in one round of consolidation. */
  maxMovesPerRound: number;
  /** A machine with nothing on it is returned to the cloud after this. */
  idleKeepS: number;
  /** Silence after which nothing new is placed on a machine. */
  suspectS: number;
  /** Silence after which a machine is returned to the cloud. */
  abandonS: number;
  /** The same for a single spot machine with work on it: its cloud has probably taken it. */
  spotSilentS: number;
}

/** The settings without a file. */
export const operatorDefaults: Operator = {
  highLoadShare: 0.8,
  overloadShare: 0.89,
  roundIntervalS: 5,
  maxMovesPerRound: 4,
  idleKeepS: 25,
  suspectS: 5,
  abandonS: 30,
  spotSilentS: 7,
};

/** Any time above this, in seconds, is a slip of the pen. */
const MAX_TIME_S = 100_000;

/** An attribute of the file: the setting that it gives, and the bounds of its value. */
interface Attribute {
  field: keyof Operator;
  min: number;
  max: number;
}

/** The file's attributes by name, in the order in which messages list them. */
const ATTRIBUTES: ReadonlyMap<string, Attribute> = new Map([
  ["degrad", { field: "highLoadShare", min: 0.05, max: 1 }],
  ["violate", { field: "overloadShare", min: 0.05, max: 10 }],
  ["elapseS", { field: "roundIntervalS", min: 0.5, max: MAX_TIME_S }],
  ["moveCap", { field: "maxMovesPerRound", min: 0, max: 1000 }],
  ["idleKeepS", { field: "idleKeepS", min: 0, max: MAX_TIME_S }],
  ["suspectS", { field: "suspectS", min: 0.5, max: MAX_TIME_S }],
  ["abandonS", { field: "abandonS", min: 1, max: MAX_TIME_S }],
  ["spotSilentS", { field: "spotSilentS", min: 1, max: MAX_TIME_S }],
]);

const ROOT_ELEMENT = "lichenturn";

const FILE_HINT =
  "--operator takes the operators' settings (XML); deploy/example-operator.xml is an example.";

/** Gathers settings and mistakes while the file's elements come in. */
class OperatorReader {
  readonly operator: Operator = { ...operatorDefaults };
  readonly mistakes: string[] = [];
  private readonly given = new Set<string>();
  private readonly path: string[] = [];

  openElement(tag: SaxesTagPlain): void {
    this.path.push(tag.name);
    if (this.path.length === 1 && tag.name !== ROOT_ELEMENT)
      this.mistakes.push(`/${tag.name}: the root must be ${ROOT_ELEMENT}`);
    for (const [name, value] of Object.entries(tag.attributes)) this.readAttribute(name, value);
  }

  closeElement(): void {
    this.path.pop();
  }

  /** What no single attribute shows to be wrong. */
  checkTogether(): void {
    const { overloadShare, highLoadShare } = this.operator;
    if (overloadShare < highLoadShare)
      this.mistakes.push(`violate = ${overloadShare}: must not be below degrad = ${highLoadShare}`);
  }

  private readAttribute(name: string, value: string): void {
    const problem = this.setAttribute(name, value);
    if (problem !== null)
      this.mistakes.push(`/${this.path.join("/")}/@${name} = ${JSON.stringify(value)}: ${problem}`);
  }

  /** What is wrong with the attribute; null when it has been set. */
  private setAttribute(name: string, text: string): string | null {
    const attribute = ATTRIBUTES.get(name);
    if (!attribute) return `no such setting (there are ${[...ATTRIBUTES.keys()].join(", ")})`;
    if (this.given.has(name)) return "given twice";
    this.given.add(name);
    const { field, min, max } = attribute;
    const value = text.trim() === "" ? NaN : Number(text);
    if (!(value >= min && value <= max)) return `must be a number from ${min} to ${max}`;
    this.operator[field] = value;
    return null;
  }
}

/**
 * Reads `<lichenturn><magnet degrad="0.8"/>…</lichenturn>`: elements group settings for the reader's sake,
 * every attribute is one setting, and each may be given once.
 * @throws SettingsError when the text is not XML, or with a line for each mistake.
 */
export async function readOperator(text: string): Promise<Operator> {
  // Loaded only when there is such a file: a start's processor time is scarce.
  const { SaxesParser } = await import("saxes");
  const reader = new OperatorReader();
  const parser = new SaxesParser();
  parser.on("error", (error) => {
    throw new SettingsError(`not XML: ${error.message}`);
  });
  parser.on("opentag", (tag: SaxesTagPlain) => reader.openElement(tag));
  parser.on("closetag", () => reader.closeElement());
  parser.write(text).close();
  reader.checkTogether();
  if (reader.mistakes.length > 0) throw new SettingsError(reader.mistakes.join("\n"));
  return reader.operator;
}

/** Reads the operators' settings from a file; the defaults when there is none. */
export async function loadOperator(path: string | undefined): Promise<Operator> {
  if (path === undefined) return { ...operatorDefaults };
  return readOperator(readSettingsFile(path, FILE_HINT));
}
