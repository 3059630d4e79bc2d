package lineward.testing;

import java.util.Map;

/** A response to a client: the message's kind, and the number and content of the result field that is set. */
public record Answer(int seqid, int kind, int field, String body, Map<String, String> fields, boolean good) {}
