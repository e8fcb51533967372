/** The HTTP responses to users' requests. */
import { encodeJobPhase, type JobPhase } from "../../protocol/users.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import { log } from "../../transport/log.js";

/** Asks the user to retry after one second. */
const RETRY_AFTER_HEADERS = { "Retry-After": "1" };

/** The response for a job ID that was never accepted. */
export const noSuchJobResponse: ServerResponse = { status: 404, body: { error: "no such job" } };

/** The response after an exception in the controller; the request may be repeated. */
export const internalErrorResponse: ServerResponse = {
  status: 500,
  body: { error: "internal error" },
  headers: RETRY_AFTER_HEADERS,
};

/** The response to a submission or cancellation of an existing job: its phase. */
export function jobPhaseResponse(id: string, phase: JobPhase): ServerResponse {
  return { status: 200, body: encodeJobPhase(id, phase) };
}

/** The response to a request that can't be decided at present. */
export function retryLaterResponse(reason: string): ServerResponse {
  log.debug(() => `responded 503 to a user request: ${reason}`);
  return { status: 503, body: { error: reason }, headers: RETRY_AFTER_HEADERS };
}

/** The response after a lookup in the state store has failed. */
export function stateStoreUnavailable(): ServerResponse {
  return retryLaterResponse("the state service does not answer");
}

/** The response after the state store has refused a write, which was therefore not executed. */
export function stateStoreRefusedWrite(): ServerResponse {
  return retryLaterResponse("the state service does not take changes");
}
