package lineward.operations;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;

/**
 * A response of the admin endpoint.
 *
 * @param text body of the response
 * @param allowedMethod value of the header {@code Allow}; empty unless the request's method is not allowed
 */
record AdminResponse(HttpResponseStatus status, String text, Optional<HttpMethod> allowedMethod) {
    static AdminResponse ok(String text) {
        return of(HttpResponseStatus.OK, text);
    }

    static AdminResponse of(HttpResponseStatus status, String text) {
        return new AdminResponse(status, text, Optional.empty());
    }

    static AdminResponse methodNotAllowed(HttpMethod allowed) {
        HttpResponseStatus status = HttpResponseStatus.METHOD_NOT_ALLOWED;
        return new AdminResponse(status, "not by that method\n", Optional.of(allowed));
    }
}
