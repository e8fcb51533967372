/** `lichenturn job`: submits, shows and cancels a job through a controller's HTTP interface. */
import { readFileSync } from "node:fs";
import { isJobId } from "../protocol/users.js";
import { readTextFile } from "../settings/textFile.js";
import { HttpClient, NoResponseError, type ClientResponse } from "../transport/httpClient.js";
import { UsageError, type Arguments } from "./arguments.js";
import { ExitCode } from "./exitCode.js";

const ACTIONS = ["submit", "show", "cancel"] as const;
type Action = (typeof ACTIONS)[number];

/** Response timeout. A controller responds well within it or not at all. */
const RESPONSE_TIMEOUT_MS = 10_000;

const STANDARD_INPUT = "-";
const STANDARD_INPUT_DESCRIPTOR = 0;

interface ApiRequest {
  method: "GET" | "POST";
  path: string;
  body: unknown;
}

/** Sends the request; prints a successful response on standard output, any other with its status on standard error. */
export async function job(operands: string[], { server }: Arguments): Promise<ExitCode> {
  const { action, operand } = parseOperands(operands);
  if (server === undefined) throw new UsageError(`job ${action} needs --server ADDRESS`);
  if (!/^[^\s:]+:\d{1,5}$/.test(server))
    throw new Error(`--server ${server}: must be an address such as 127.0.0.1:8080`);
  const response = await call(server, requestFor(action, operand));
  const body = JSON.stringify(response.body);
  if (response.status < 300) {
    process.stdout.write(`${body}\n`);
    return ExitCode.done;
  }
  process.stderr.write(`${response.status} ${body}\n`);
  return ExitCode.failed;
}

function parseOperands([action, operand, ...more]: string[]): { action: Action; operand: string } {
  if (!isAction(action)) throw new UsageError("job takes submit, show or cancel");
  if (operand === undefined || more.length > 0) throw new UsageError(`job ${action} takes one argument`);
  return { action, operand };
}

function isAction(text: string | undefined): text is Action {
  return (ACTIONS as readonly (string | undefined)[]).includes(text);
}

function requestFor(action: Action, operand: string): ApiRequest {
  if (action === "submit") return { method: "POST", path: "/v1/jobs", body: readSubmission(operand) };
  if (!isJobId(operand)) throw new Error(`${operand}: must be a job ID such as job-000412`);
  const path = `/v1/jobs/${operand}`;
  return action === "show"
    ? { method: "GET", path, body: undefined }
    : { method: "POST", path: `${path}/cancel`, body: {} };
}

function readSubmission(path: string): unknown {
  const text = path === STANDARD_INPUT ? readFileSync(STANDARD_INPUT_DESCRIPTOR, "utf8") : readTextFile(path);
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    throw new Error(`${path}: not JSON: ${(error as Error).message}`, { cause: error });
  }
}

async function call(server: string, { method, path, body }: ApiRequest): Promise<ClientResponse> {
  const client = new HttpClient(1);
  try {
    return await client.call(server, method, path, body, RESPONSE_TIMEOUT_MS);
  } catch (error) {
    if (!(error instanceof NoResponseError)) throw error;
    const hint = error.neverSent
      ? "is a controller running there?"
      : "the request may have been executed; repeating it is safe";
    throw new Error(`no response: ${error.message}; ${hint}`, { cause: error });
  } finally {
    client.close();
  }
}
