/** The text of `lichenturn --help`. */
export const HELP = `lichenturn - a cluster scheduler: runs its users' jobs on cloud machines

  lichenturn serve --config FILE [--operator FILE]   run a controller until it is killed
  lichenturn check --config FILE [--operator FILE]   check settings and say what is wrong with them
  lichenturn job submit --server ADDRESS FILE        submit the job described in FILE (- for standard input)
  lichenturn job show --server ADDRESS ID            show a job's state
  lichenturn job cancel --server ADDRESS ID          cancel a job
  lichenturn --help | --version

  --config FILE     the platform's settings (TOML), such as deploy/example-settings.toml
  --operator FILE   the operators' own settings (XML), such as deploy/example-operator.xml; defaults without it
  --server ADDRESS  a controller's or load balancer's address, such as 127.0.0.1:8080

Logs go to standard error, as much as LOG_LEVEL asks for: error, info (default) or debug.
Exit codes: 0 done; 1 the service refused or failed; 2 wrong usage or settings.
`;
