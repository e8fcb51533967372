/** Reads typed and bounded fields from a TOML table and collects validation errors. */

type Table = Record<string, unknown>;

/** The inclusive bounds of a number, and the fallback for a missing one; without a fallback the number is required. */
export interface NumberBounds {
  min: number;
  max: number;
  fallback?: number;
}

const MAX_PORT = 65_535;

/**
 * Reads one table of a settings file. A missing or invalid field adds an error with its full path to `errors`, which all
 * tables of a file share, and yields a placeholder value, so that one run reports every error.
 */
export class TableReader {
  private constructor(
    private readonly table: Table,
    /** The table's path in the file; empty for the root table. */
    private readonly path: string,
    private readonly errors: string[],
  ) {}

  /** Creates the reader of a file's root table; errors anywhere in the file are added to `errors`. */
  static root(table: Table, errors: string[]): TableReader {
    return new TableReader(table, "", errors);
  }

  has(key: string): boolean {
    return this.table[key] !== undefined;
  }

  child(key: string): TableReader {
    const value = this.table[key];
    if (isObject(value) && !Array.isArray(value)) return this.childReader(value, key);
    this.addError(key, value, "must be a table");
    return this.childReader({}, key);
  }

  /** The tables of an array of tables; empty if the array is missing. */
  children(key: string): TableReader[] {
    const value = this.table[key] ?? [];
    if (Array.isArray(value) && value.every(isObject))
      return value.map((table, index) => this.childReader(table, `${key}[${index}]`));
    this.addError(key, value, "must be an array of tables");
    return [];
  }

  text(key: string): string {
    const value = this.table[key];
    if (isText(value)) return value;
    this.addError(key, value, "must be a non-empty string");
    return "";
  }

  texts(key: string): string[] {
    const value = this.table[key];
    if (Array.isArray(value) && value.length > 0 && value.every(isText)) return value;
    this.addError(key, value, "must be a non-empty array of strings");
    return [];
  }

  /** An address of host and port, such as `10.0.0.1:8080`. */
  address(key: string): string {
    const value = this.table[key];
    if (typeof value === "string" && isAddress(value)) return value;
    this.addError(key, value, "must be an address such as 10.0.0.1:8080");
    return "";
  }

  number(key: string, { min, max, fallback }: NumberBounds): number {
    const value = this.table[key] ?? fallback;
    const amount = typeof value === "bigint" ? Number(value) : value;
    if (typeof amount === "number" && amount >= min && amount <= max) return amount;
    this.addError(key, value, `must be a number from ${min} to ${max}`);
    return min;
  }

  private childReader(table: Table, key: string): TableReader {
    return new TableReader(table, this.pathOf(key), this.errors);
  }

  private pathOf(key: string): string {
    return this.path === "" ? key : `${this.path}.${key}`;
  }

  private addError(key: string, value: unknown, reason: string): void {
    const path = this.pathOf(key);
    this.errors.push(
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
