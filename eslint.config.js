import js from "@eslint/js";
import ts from "typescript-eslint";

export default ts.config(
  { ignores: ["target/", "node_modules/", "journal/"] },
  js.configs.recommended,
  ...ts.configs.strict,
  {
    rules: {
      "@typescript-eslint/no-non-null-assertion": "off",
      "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_$" }],
      eqeqeq: "error",
    },
  },
  // Each layer imports only from those to the right of it:
  // coordination -> bookkeeping -> protocol -> transport.
  ...[
    ["src/transport", ["protocol", "bookkeeping", "coordination"]],
    ["src/protocol", ["bookkeeping", "coordination"]],
    ["src/bookkeeping", ["coordination"]],
  ].map(([dir, banned]) => ({
    files: [`${dir}/**/*.ts`],
    rules: {
      "no-restricted-imports": [
        "error",
        { patterns: banned.map((b) => ({ group: [`**/${b}/**`], message: "layering" })) },
      ],
    },
  })),
);
