import { readFileSync } from "node:fs";
import type { SaxesTagPlain } from "saxes";
import { SettingsError } from "./platform.js";

/** The operators' own settings. Durations are numbers, in the unit that the name ends with. */
export interface Operator {
  /** Load above which a machine is in the inner ring (share of its capacity). */
  degrad: number;
  /** Measured use above which a machine is relieved. */
  violate: number;
  /** Time between two rounds of squeeze and release. */
  elapseS: number;
  /** Moves in one round. */
  moveCap: number;
  /** A machine with nothing on it is returned after this. */
  idleKeepS: number;
  /** Silence after which nothing new is placed on a machine. */
  suspectS: number;
  /** Silence after which a machine is given back to the cloud. */
  abandonS: number;
  /** The same for a single spot machine with work on it: it has probably been taken. */
  spotSilentS: number;
}

export const operatorDefaults: Operator = {
  degrad: 0.8,
  violate: 0.89,
  elapseS: 5,
  moveCap: 4,
  idleKeepS: 25,
  suspectS: 5,
  abandonS: 30,
  spotSilentS: 7,
};

const RANGES: Record<keyof Operator, [number, number]> = {
  degrad: [0.05, 1],
  violate: [0.05, 10],
  elapseS: [0.5, 100_000],
  moveCap: [0, 1000],
  idleKeepS: [0, 100_000],
  suspectS: [0.5, 100_000],
  abandonS: [1, 100_000],
  spotSilentS: [1, 100_000],
};

/**
 * Reads `<lichenturn><magnet degrad="0.8"/>…</lichenturn>`: elements group settings for the reader's sake,
 * every attribute is one setting, and each may be given once.
 */
export async function readOperator(text: string): Promise<Operator> {
  // Loaded only when there is such a file: start-up is charged.
  const { SaxesParser } = await import("saxes");
  const operator = { ...operatorDefaults };
  const wrong: string[] = [];
  const seen = new Set<string>();
  const path: string[] = [];
  const parser = new SaxesParser();
  parser.on("error", (error) => {
    throw new SettingsError(`not XML: ${error.message}`);
  });
  parser.on("opentag", (tag: SaxesTagPlain) => {
    path.push(tag.name);
    if (path.length === 1 && tag.name !== "lichenturn")
      wrong.push(`/${tag.name}: the root must be lichenturn`);
    for (const [name, value] of Object.entries(tag.attributes)) {
      const where = `/${path.join("/")}/@${name} = ${JSON.stringify(value)}`;
      if (!Object.hasOwn(RANGES, name)) {
        wrong.push(`${where}: no such setting (there are ${Object.keys(RANGES).join(", ")})`);
        continue;
      }
      const key = name as keyof Operator;
      const [low, high] = RANGES[key];
      const n = value.trim() === "" ? NaN : Number(value);
      if (seen.has(name)) wrong.push(`${where}: given twice`);
      else if (!(n >= low && n <= high)) wrong.push(`${where}: must be a number from ${low} to ${high}`);
      else operator[key] = n;
      seen.add(name);
    }
  });
  parser.on("closetag", () => path.pop());
  parser.write(text).close();
  if (operator.violate < operator.degrad)
    wrong.push(`violate = ${operator.violate}: must not be below degrad = ${operator.degrad}`);
  if (wrong.length > 0) throw new SettingsError(wrong.join("\n"));
  return operator;
}

export async function loadOperator(path: string | undefined): Promise<Operator> {
  if (path === undefined) return { ...operatorDefaults };
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    throw new SettingsError(`${path}: ${(error as Error).message}`);
  }
  return readOperator(text);
}
