package lineward.operations;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;

/** The paths of the admin endpoint, each with its method, operation and responses. Runs on the event loop. */
final class AdminRoutes {
    /** The method that a path allows, and the operation behind it, which receives the body of the request. */
    private record Route(HttpMethod method, BiFunction<AdminOperations, String, AdminResponse> operation) {}

    private static final Map<String, Route> ROUTES = Map.of(
            "/ops/readiness", get(AdminRoutes::readiness),
            "/ops/stats", get(operations -> AdminResponse.ok(operations.metricsText())),
            "/ops/query-engines/down", post((operations, engine) -> setMaintenance(operations, engine, true)),
            "/ops/query-engines/up", post((operations, engine) -> setMaintenance(operations, engine, false)),
            "/ops/drain/start", post((operations, body) -> startDrain(operations)),
            "/ops/drain/stop", post((operations, body) -> stopDrain(operations)));

    private AdminRoutes() {}

    private static Route get(Function<AdminOperations, AdminResponse> operation) {
        return new Route(HttpMethod.GET, (operations, body) -> operation.apply(operations));
    }

    private static Route post(BiFunction<AdminOperations, String, AdminResponse> operation) {
        return new Route(HttpMethod.POST, operation);
    }

    /** Carries out a complete request and returns the response. */
    static AdminResponse handle(AdminOperations operations, FullHttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            return AdminResponse.of(HttpResponseStatus.BAD_REQUEST, "no call that can be read\n");
        }
        Route route = ROUTES.get(new QueryStringDecoder(request.uri()).path());
        if (route == null) {
            return AdminResponse.of(HttpResponseStatus.NOT_FOUND, "no such path\n");
        }
        if (!route.method().equals(request.method())) {
            return AdminResponse.methodNotAllowed(route.method());
        }
        String body = request.content().toString(StandardCharsets.UTF_8).strip();
        return route.operation().apply(operations, body);
    }

    /** Returns the response to a request whose body is too large. */
    static AdminResponse bodyTooLarge() {
        return AdminResponse.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large\n");
    }

    private static AdminResponse readiness(AdminOperations operations) {
        return operations.isReady()
                ? AdminResponse.ok("ready\n")
                : AdminResponse.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
    }

    private static AdminResponse setMaintenance(AdminOperations operations, String engine, boolean excluded) {
        return operations.setMaintenance(engine, excluded)
                ? AdminResponse.ok(engine + (excluded ? " is left out\n" : " is used\n"))
                : AdminResponse.of(HttpResponseStatus.NOT_FOUND, "no query engine " + engine + " is known\n");
    }

    private static AdminResponse startDrain(AdminOperations operations) {
        operations.startDrain();
        return AdminResponse.ok("draining\n");
    }

    private static AdminResponse stopDrain(AdminOperations operations) {
        return operations.stopDrain()
                ? AdminResponse.ok("serving\n")
                : AdminResponse.of(HttpResponseStatus.CONFLICT, "the process is ending\n");
    }
}
