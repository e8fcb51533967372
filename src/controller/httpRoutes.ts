/** The HTTP interface of a controller: workers' heartbeats, users' requests, the load balancer's readiness check. */
import type { Admission } from "../coordination/admission/admission.js";
import type { RequestLimiter } from "../coordination/admission/requestLimiter.js";
import type { HeartbeatServer } from "../coordination/heartbeats/heartbeatServer.js";
import { parseJson } from "../protocol/json.js";
import { routeRequest, type ApiRoute } from "../protocol/users.js";
import { decodeHeartbeat } from "../protocol/workers.js";
import type { ServerRequest, ServerResponse } from "../transport/httpServer.js";

/** The components that handle the requests. */
export interface HttpRoutesContext {
  admission: Admission;
  heartbeatServer: HeartbeatServer;
  limiter: RequestLimiter;
  isReady: () => boolean;
}

type Reply = (response: ServerResponse) => void;
type UserRoute = Extract<ApiRoute, { call: "submit" | "show" | "cancel" }>;

/** Asks users whose request was shed to retry after two seconds. */
const OVERLOADED_HEADERS = { "Retry-After": "2" };

/** Routes HTTP requests to admission, the heartbeat server and the readiness check; sheds users' requests under overload. */
export class HttpRoutes {
  constructor(private readonly context: HttpRoutesContext) {}

  /** Handles a request; calls `reply` exactly once, synchronously or later. */
  handle(request: ServerRequest, reply: Reply): void {
    const route = routeRequest(request.method, request.path);
    switch (route.call) {
      case "heartbeat":
        this.handleHeartbeat(request, reply);
        break;
      case "ready":
        this.handleReadinessCheck(reply);
        break;
      case "none":
        reply(noSuchRoute(route));
        break;
      case "submit":
      case "show":
      case "cancel":
        this.handleUserRequest(route, request, reply);
        break;
    }
  }

  private handleHeartbeat(request: ServerRequest, reply: Reply): void {
    const heartbeat = decodeHeartbeat(parseJson(request.body));
    if (heartbeat) this.context.heartbeatServer.post({ kind: "heartbeat", heartbeat, reply });
    else reply({ status: 400, body: { error: "not a report" } });
  }

  private handleReadinessCheck(reply: Reply): void {
    const ready = this.context.isReady();
    reply({ status: ready ? 200 : 503, body: { ready } });
  }

  private handleUserRequest(route: UserRoute, request: ServerRequest, reply: Reply): void {
    const { admission, limiter } = this.context;
    const kind = route.call === "show" ? "read" : "change";
    if (!limiter.tryAcquire(kind)) {
      reply({ status: 503, body: { error: "too much at once" }, headers: OVERLOADED_HEADERS });
      return;
    }
    const finish = (response: ServerResponse): void => {
      limiter.release(kind);
      reply(response);
    };
    if (route.call !== "submit") {
      admission.post({ kind: route.call, id: route.id, reply: finish });
      return;
    }
    const value = parseJson(request.body);
    if (value === undefined) finish({ status: 400, body: { error: "the body is not JSON" } });
    else admission.post({ kind: "submit", value, reply: finish });
  }
}

function noSuchRoute({ status, allow }: Extract<ApiRoute, { call: "none" }>): ServerResponse {
  return {
    status,
    body: { error: status === 404 ? "no such path" : "no such method here" },
    headers: allow ? { Allow: allow } : {},
  };
}
