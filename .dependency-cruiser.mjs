/** Rules for imports between modules, checked by `npm run lint`. They apply to type imports too. */

/** The layers of `src`: each may import only from layers after it in this list. */
const LAYERS = ["cli", "controller", "coordination", "bookkeeping", "protocol", "transport"];

/** The packages of `src/coordination`: each may import only from packages after it in this list. */
const COORDINATION = [
  "leader",
  "records",
  "machines",
  "provisioning",
  "consolidation",
  "scheduling",
  "commands",
  "heartbeats",
  "term",
];

/** One rule for each folder, which forbids imports from the folders before it in the list. */
function rulesFor(root, folders) {
  return folders.slice(1).map((folder, index) => ({
    name: `layer-${folder}`,
    severity: "error",
    from: { path: `^${root}/${folder}/` },
    to: { path: folders.slice(0, index + 1).map((left) => `^${root}/${left}/`) },
  }));
}

export default {
  forbidden: [
    { name: "no-circular", severity: "error", from: {}, to: { circular: true } },
    { name: "no-orphans", severity: "error", from: { orphan: true }, to: {} },
    ...rulesFor("src", LAYERS),
    ...rulesFor("src/coordination", COORDINATION),
    {
      name: "settings-stand-alone",
      severity: "error",
      from: { path: "^src/settings/" },
      to: { path: "^src/", pathNot: "^src/(settings|transport)/" },
    },
    {
      name: "election-and-admission-stand-alone",
      comment: "election and admission may import the term package, but no other component of the leader",
      severity: "error",
      from: { path: "^src/coordination/(leadership|admission)/" },
      to: { path: "^src/coordination/", pathNot: "^src/coordination/(leadership|admission|term)/" },
    },
    {
      name: "term-knows-no-part",
      severity: "error",
      from: { path: "^src/coordination/term/" },
      to: { path: "^src/coordination/", pathNot: "^src/coordination/term/" },
    },
  ],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: { fileName: "tsconfig.json" },
    doNotFollow: { path: "node_modules" },
  },
};
