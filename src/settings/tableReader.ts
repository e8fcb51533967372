/** Reads the fields of a TOML table one by one, with their types and bounds, and gathers what is wrong with them. */

type Table = Record<string, unknown>;

/** The bounds of a number, both included, and its value when it is missing (without one it is required). */
export interface NumberBounds {
  min: number;
  max: number;
  fallback?: number;
}

const MAX_PORT = 65_535;

/**
 * One table of a settings file. A field that is missing or wrong is added to `mistakes`, which all tables of a file
 * share, with its full path; the reader goes on with a stand-in, so that one run names every mistake.
 */
export class TableReader {
  private constructor(
    private readonly table: Table,
    /** Where the table is in the file; empty for the root. */
    private readonly path: string,
    private readonly mistakes: string[],
  ) {}

  /** The reader of a file's root table; mistakes anywhere in the file go to `mistakes`. */
  static root(table: Table, mistakes: string[]): TableReader {
    return new TableReader(table, "", mistakes);
  }

  has(key: string): boolean {
    return this.table[key] !== undefined;
  }

  child(key: string): TableReader {
    const value = this.table[key];
    if (isObject(value) && !Array.isArray(value)) return this.reader(value, key);
    this.mistake(key, value, "must be a table");
    return this.reader({}, key);
  }

  /** An array of tables; none when it is missing. */
  children(key: string): TableReader[] {
    const value = this.table[key] ?? [];
    if (Array.isArray(value) && value.every(isObject))
      return value.map((table, index) => this.reader(table, `${key}[${index}]`));
    this.mistake(key, value, "must be an array of tables");
    return [];
  }

  text(key: string): string {
    const value = this.table[key];
    if (isText(value)) return value;
    this.mistake(key, value, "must be a non-empty string");
    return "";
  }

  texts(key: string): string[] {
    const value = this.table[key];
    if (Array.isArray(value) && value.length > 0 && value.every(isText)) return value;
    this.mistake(key, value, "must be a non-empty array of strings");
    return [];
  }

  /** Host and port, such as `10.0.0.1:8080`. */
  address(key: string): string {
    const value = this.table[key];
    if (typeof value === "string" && isAddress(value)) return value;
    this.mistake(key, value, "must be an address such as 10.0.0.1:8080");
    return "";
  }

  number(key: string, { min, max, fallback }: NumberBounds): number {
    const value = this.table[key] ?? fallback;
    const amount = typeof value === "bigint" ? Number(value) : value;
    if (typeof amount === "number" && amount >= min && amount <= max) return amount;
    this.mistake(key, value, `must be a number from ${min} to ${max}`);
    return min;
  }

  private reader(table: Table, key: string): TableReader {
    return new TableReader(table, this.pathOf(key), this.mistakes);
  }

  private pathOf(key: string): string {
    return this.path === "" ? key : `${this.path}.${key}`;
  }

  private mistake(key: string, value: unknown, reason: string): void {
    const path = this.pathOf(key);
    this.mistakes.push(
      value === undefined ? `${path}: missing, ${reason}` : `${path} = ${JSON.stringify(value)}: ${reason}`,
    );
  }
}

function isObject(value: unknown): value is Table {
  return typeof value === "object" && value !== null;
}

function isText(value: unknown): value is string {
  return typeof value === "string" && value !== "";
}

function isAddress(value: string): boolean {
  const port = Number(/^[^\s:]+:(\d{1,5})$/.exec(value)?.[1] ?? 0);
  return port >= 1 && port <= MAX_PORT;
}
