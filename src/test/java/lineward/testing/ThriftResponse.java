package lineward.testing;

import java.util.Map;

/**
 * A response to a Thrift client.
 *
 * @param seqid sequence number of the request
 * @param messageType type of the message: 2 for a reply, 3 for an application exception
 * @param fieldId id of the field that is set: 0 if served, 1 if rejected, 2 if failed, otherwise -1
 * @param body text of the result or of the application exception
 * @param fields fields of the result or of the declared exception
 * @param ok flag of the result: whether the request was served or, of a ping, whether clients should use
 *     this front end
 */
public record ThriftResponse(
        int seqid, int messageType, int fieldId, String body, Map<String, String> fields, boolean ok) {}
