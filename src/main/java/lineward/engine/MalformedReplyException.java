package lineward.engine;

import io.netty.handler.codec.DecoderException;

/** What an engine sent is not what the protocol allows. */
final class MalformedReplyException extends DecoderException {
    private static final long serialVersionUID = 1L;

    MalformedReplyException(String message) {
        super(message);
    }
}
