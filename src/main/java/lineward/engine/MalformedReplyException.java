package lineward.engine;

import io.netty.handler.codec.DecoderException;

/** Thrown if an engine's reply violates the line protocol. */
final class MalformedReplyException extends DecoderException {
    private static final long serialVersionUID = 1L;

    MalformedReplyException(String message) {
        super(message);
    }

    MalformedReplyException(String message, Throwable cause) {
        super(message, cause);
    }
}
