import { readFileSync } from "node:fs";
import { HttpClient, NoResponseError } from "../transport/httpClient.js";
import { isJobId } from "../protocol/users.js";

/** The command line's small client. Returns the exit code. */
export async function runJobCall(
  call: "submit" | "show" | "cancel",
  server: string,
  what: string,
): Promise<number> {
  if (!/^[^\s:]+:\d{1,5}$/.test(server))
    throw new Error(`--server ${server}: must be an address such as 127.0.0.1:8080`);
  let body: unknown;
  if (call === "submit") {
    const text = readFileSync(what === "-" ? 0 : what, "utf8");
    try {
      body = JSON.parse(text) as unknown;
    } catch (error) {
      throw new Error(`${what}: not JSON: ${(error as Error).message}`);
    }
  } else if (!isJobId(what)) throw new Error(`${what}: a job's id looks like job-000412`);
  const http = new HttpClient(1);
  try {
    const reply =
      call === "submit"
        ? await http.call(server, "POST", "/v1/jobs", body, 10_000)
        : call === "show"
          ? await http.call(server, "GET", `/v1/jobs/${what}`, undefined, 10_000)
          : await http.call(server, "POST", `/v1/jobs/${what}/cancel`, {}, 10_000);
    const out = reply.status < 300 ? process.stdout : process.stderr;
    out.write(`${reply.status < 300 ? "" : `${reply.status} `}${JSON.stringify(reply.body)}\n`);
    return reply.status < 300 ? 0 : 1;
  } catch (error) {
    if (error instanceof NoResponseError) throw new Error(`no answer: ${error.message}`, { cause: error });
    throw error;
  } finally {
    http.close();
  }
}
