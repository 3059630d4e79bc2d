package lineward.engine;

import io.netty.handler.codec.DecoderException;

/** An engine sent bytes that the line protocol does not allow. */
final class MalformedReplyException extends DecoderException {
    private static final long serialVersionUID = 1L;

    MalformedReplyException(String message) {
        super(message);
    }

    MalformedReplyException(String message, Throwable cause) {
        super(message, cause);
    }
}
