import js from "@eslint/js";
import jsdoc from "eslint-plugin-jsdoc";
import ts from "typescript-eslint";

/** Limits on the size and complexity of files and functions. They may be lowered, never raised. */
const BOUNDS = {
  fileLines: 300,
  functionLines: 60,
  complexity: 15,
  depth: 4,
  parameters: 5,
  testFileLines: 327,
  testComplexity: 16,
};

/** Identifiers of an earlier naming style, replaced by the more precise terms in the glossary of docs/design.md. */
const WITHDRAWN_WORDS = ["book", "doubt", "heard", "hears", "ledger", "life", "news", "setAside", "told"];

export default ts.config(
  { ignores: ["target/", "node_modules/", "journal/"] },
  js.configs.recommended,
  ...ts.configs.strict,
  {
    rules: {
      "@typescript-eslint/no-non-null-assertion": "off",
      "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_$" }],
      eqeqeq: "error",
      complexity: ["error", BOUNDS.complexity],
      "max-depth": ["error", BOUNDS.depth],
      "max-lines": ["error", BOUNDS.fileLines],
      "max-lines-per-function": [
        "error",
        { max: BOUNDS.functionLines, skipBlankLines: true, skipComments: true },
      ],
      "max-params": ["error", BOUNDS.parameters],
      "id-length": ["error", { min: 2, exceptions: ["_", "i", "a", "b"], properties: "never" }],
    },
  },
  {
    files: ["src/**/*.ts", "test/**/*.ts"],
    languageOptions: {
      parserOptions: { project: "./test/tsconfig.json", tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      "@typescript-eslint/await-thenable": "error",
      "@typescript-eslint/no-floating-promises": "error",
      "@typescript-eslint/no-misused-promises": "error",
      "@typescript-eslint/no-unnecessary-type-assertion": "error",
      "@typescript-eslint/switch-exhaustiveness-check": [
        "error",
        { considerDefaultExhaustiveForUnions: true },
      ],
      "@typescript-eslint/naming-convention": [
        "error",
        { selector: "typeLike", format: ["PascalCase"] },
        { selector: "function", format: ["camelCase"] },
        { selector: "variable", format: ["camelCase", "UPPER_CASE"], leadingUnderscore: "allow" },
        // Constant objects that are used as enums.
        {
          selector: "variable",
          modifiers: ["const", "global", "exported"],
          format: ["camelCase", "UPPER_CASE", "PascalCase"],
        },
        // Names that are destructured from a library, such as its classes.
        { selector: "variable", modifiers: ["destructured"], format: null },
        { selector: "method", format: ["camelCase"] },
      ],
    },
  },
  // Only codecs use the field names of messages and stored records.
  {
    files: ["src/**/*.ts"],
    ignores: ["src/protocol/**", "src/coordination/leadership/leadershipRecord.ts"],
    rules: { "id-denylist": ["error", ...WITHDRAWN_WORDS] },
  },
  // Every exported item needs a doc comment.
  {
    files: ["src/**/*.ts"],
    plugins: { jsdoc },
    rules: {
      "jsdoc/require-jsdoc": [
        "error",
        {
          publicOnly: true,
          require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
          contexts: [
            "TSInterfaceDeclaration",
            "TSTypeAliasDeclaration",
            "TSEnumDeclaration",
            "ExportNamedDeclaration > VariableDeclaration",
          ],
        },
      ],
    },
  },
  // Tests may contain long tables of cases.
  {
    files: ["test/**/*.ts"],
    rules: {
      "max-lines": ["error", BOUNDS.testFileLines],
      "max-lines-per-function": "off",
      complexity: ["error", BOUNDS.testComplexity],
      "@typescript-eslint/no-floating-promises": [
        "error",
        { allowForKnownSafeCalls: [{ from: "package", package: "node:test", name: ["test", "describe"] }] },
      ],
    },
  },
);
