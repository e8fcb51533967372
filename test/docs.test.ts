import assert from "node:assert/strict";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

/** The repository's root, relative to the compiled test. */
const root = fileURLToPath(new URL("../../../", import.meta.url));

/** The pages that describe the current code; those in `docs/history`, which describe earlier code, are left out. */
function currentPages(): string[] {
  const inFolder = (folder: string): string[] =>
    readdirSync(join(root, folder))
      .filter((name) => name.endsWith(".md"))
      .map((name) => join(folder, name));
  return ["README.md", ...inFolder("docs")];
}

/** Paths of the files that a page's code spans name and that it links to, relative to the repository's root. */
function namedFiles(page: string): string[] {
  const text = readFileSync(join(root, page), "utf8");
  const spans = [...text.matchAll(/`((?:src|test|deploy|docs)\/[\w./-]+)`/g)].map((match) => match[1]!);
  const links = [...text.matchAll(/\]\((?!https?:|#)([^)#]+)/g)].map((match) =>
    join(dirname(page), match[1]!),
  );
  return [...spans, ...links];
}

/** Source files that a page names by their parent directory and name only, such as `scheduling/queue.ts`. */
function shortSourceNames(page: string): string[] {
  const text = readFileSync(join(root, page), "utf8");
  return [...text.matchAll(/`((?:[\w-]+\/)?[\w-]+\.ts)`/g)].map((match) => match[1]!);
}

const sources = readdirSync(join(root, "src"), { recursive: true, encoding: "utf8" }).map(
  (name) => `/src/${name}`,
);

test("pages refer only to files that exist", () => {
  for (const page of currentPages()) {
    for (const file of namedFiles(page)) assert.ok(existsSync(join(root, file)), `${page} names ${file}`);
    for (const name of shortSourceNames(page))
      assert.ok(
        sources.some((source) => source.endsWith(`/${name}`)),
        `${page} names ${name}`,
      );
  }
});

test("every source module begins with a doc comment", () => {
  const modules = sources.filter((name) => name.endsWith(".ts"));
  assert.ok(modules.length > 100, "too few source modules were found");
  const bare = modules.filter((name) => !readFileSync(join(root, name), "utf8").startsWith("/**"));
  assert.deepEqual(bare, []);
});
