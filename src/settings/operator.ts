/** The operators' settings: defaults, overridden by an optional XML file. `docs/settings.md` documents each setting. */
import type { SaxesTagPlain } from "saxes";
import { SettingsError } from "./settingsError.js";
import { readSettingsFile } from "./settingsFile.js";

/** The operators' settings. Durations are in seconds; loads are shares of a machine's capacity (1 is full capacity). */
export interface OperatorSettings {
  /** Load from which a machine is highly loaded (the paper's inner ring); below half of it, it is lightly loaded. */
  highLoadShare: number;
  /**
   * Load of the tasks in a machine's newest heartbeat above which a task is moved off the machine, if that load also
   * exceeds the load of the tasks planned on it. At least `highLoadShare`.
   */
  overloadShare: number;
  /** Interval between two rounds of consolidation. */
  roundIntervalS: number;
  /** Maximum number of task moves in one round of consolidation. */
  maxMovesPerRound: number;
  /** Idle time after which a machine without tasks is scaled in. */
  idleKeepS: number;
  /** Time without a heartbeat after which no new task is placed on a machine. */
  suspectS: number;
  /** Time without a heartbeat after which a machine is scaled in; the workers' lease plus a margin applies if longer. */
  abandonS: number;
  /**
   * Time without a heartbeat after which a spot machine with tasks is scaled in, if no outage of its zone or controller
   * explains the silence: the cloud has probably interrupted it.
   */
  spotSilentS: number;
}

/** The settings that apply without a file. */
export const defaultOperatorSettings: OperatorSettings = {
  highLoadShare: 0.8,
  overloadShare: 0.89,
  roundIntervalS: 5,
  maxMovesPerRound: 4,
  idleKeepS: 25,
  suspectS: 5,
  abandonS: 30,
  spotSilentS: 7,
};

/** Upper bound of durations; a longer one is a typing mistake. */
const MAX_TIME_S = 100_000;

/** The setting that an attribute of the file sets, and the inclusive bounds of its value. */
interface Attribute {
  field: keyof OperatorSettings;
  min: number;
  max: number;
}

/** The file's attributes by name, in the order in which error messages list them. */
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

/** Collects settings and errors while the file is parsed. */
class OperatorSettingsReader {
  readonly settings: OperatorSettings = { ...defaultOperatorSettings };
  readonly errors: string[] = [];
  private readonly seenAttributes = new Set<string>();
  private readonly path: string[] = [];

  openElement(tag: SaxesTagPlain): void {
    this.path.push(tag.name);
    if (this.path.length === 1 && tag.name !== ROOT_ELEMENT)
      this.errors.push(`/${tag.name}: the root must be ${ROOT_ELEMENT}`);
    for (const [name, value] of Object.entries(tag.attributes)) this.readAttribute(name, value);
  }

  closeElement(): void {
    this.path.pop();
  }

  /** Checks constraints between settings. */
  checkConsistency(): void {
    const { overloadShare, highLoadShare } = this.settings;
    if (overloadShare < highLoadShare)
      this.errors.push(`violate = ${overloadShare}: must not be below degrad = ${highLoadShare}`);
  }

  private readAttribute(name: string, value: string): void {
    const problem = this.setAttribute(name, value);
    if (problem !== null)
      this.errors.push(`/${this.path.join("/")}/@${name} = ${JSON.stringify(value)}: ${problem}`);
  }

  /** Sets the attribute's setting; returns null, or what is wrong with the attribute. */
  private setAttribute(name: string, text: string): string | null {
    const attribute = ATTRIBUTES.get(name);
    if (!attribute) return `unknown setting (known settings: ${[...ATTRIBUTES.keys()].join(", ")})`;
    if (this.seenAttributes.has(name)) return "set more than once";
    this.seenAttributes.add(name);
    const { field, min, max } = attribute;
    const value = text.trim() === "" ? NaN : Number(text);
    if (!(value >= min && value <= max)) return `must be a number from ${min} to ${max}`;
    this.settings[field] = value;
    return null;
  }
}

/**
 * Parses `<lichenturn><magnet degrad="0.8"/>…</lichenturn>`. Each attribute is one setting, which may be set once; elements
 * only group settings and have no meaning of their own.
 * @throws SettingsError if the text is not XML, or with one line for each invalid setting.
 */
export async function parseOperatorSettings(text: string): Promise<OperatorSettings> {
  // The parser is loaded only if there is a file, because processor time is scarce during a start.
  const { SaxesParser } = await import("saxes");
  const reader = new OperatorSettingsReader();
  const parser = new SaxesParser();
  parser.on("error", (error) => {
    throw new SettingsError(`not XML: ${error.message}`);
  });
  parser.on("opentag", (tag: SaxesTagPlain) => reader.openElement(tag));
  parser.on("closetag", () => reader.closeElement());
  parser.write(text).close();
  reader.checkConsistency();
  if (reader.errors.length > 0) throw new SettingsError(reader.errors.join("\n"));
  return reader.settings;
}

/** Loads the operators' settings from a file; returns the defaults if no path is given. */
export async function loadOperatorSettings(path: string | undefined): Promise<OperatorSettings> {
  if (path === undefined) return { ...defaultOperatorSettings };
  return parseOperatorSettings(readSettingsFile(path, FILE_HINT));
}
