package lineward.operations;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;

/**
 * A response of the admin endpoint.
 *
 * @param body body of the response
 * @param allowedMethod value of the header {@code Allow}; empty unless the request's method is not allowed
 */
record AdminResponse(HttpResponseStatus status, String body, Optional<HttpMethod> allowedMethod) {
    static AdminResponse ok(String body) {
        return of(HttpResponseStatus.OK, body);
    }

    static AdminResponse of(HttpResponseStatus status, String body) {
        return new AdminResponse(status, body, Optional.empty());
    }

    static AdminResponse methodNotAllowed(HttpMethod allowed) {
        HttpResponseStatus status = HttpResponseStatus.METHOD_NOT_ALLOWED;
        return new AdminResponse(status, "not by that method\n", Optional.of(allowed));
    }
}
