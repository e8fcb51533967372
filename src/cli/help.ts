/** The text of `lichenturn --help`. */
export const HELP = `lichenturn - a cluster scheduler: runs its users' jobs on cloud machines

  lichenturn serve --config FILE [--operator FILE]   run a controller until the process is killed
  lichenturn check --config FILE [--operator FILE]   validate the settings files
  lichenturn job submit --server ADDRESS FILE        submit the job described in FILE (- for standard input)
  lichenturn job show --server ADDRESS ID            show a job's status
  lichenturn job cancel --server ADDRESS ID          cancel a job
  lichenturn --help | --version

  --config FILE     the platform's settings (TOML), such as deploy/example-settings.toml
  --operator FILE   the operators' own settings (XML), such as deploy/example-operator.xml (default: built-in values)
  --server ADDRESS  a controller's or load balancer's address, such as 127.0.0.1:8080

Logs go to standard error. LOG_LEVEL sets the level: error, info (default) or debug.
Exit codes: 0 success; 1 the service rejected the request or failed; 2 invalid usage or settings.
`;
