/** Which module may import which; type imports count like all others. `npm run lint` checks it. */

/** From the left to the right: each layer imports only from those further right. */
const LAYERS = ["cli", "controller", "coordination", "bookkeeping", "protocol", "transport"];

/** The packages of `src/coordination`, likewise. */
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

/** One rule for each folder: it imports nothing from those to its left. */
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
      comment: "they use the term's lease and nothing else of the leader's parts",
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
