package lineward.thrift;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Pattern;
import lineward.core.RequestAttributes;
import lineward.core.TableGroups;
import lineward.thrift.ThriftServer.Names;

/**
 * The validated fields of a request. Only these reach the scheduler and the engines. Immutable.
 *
 * @param id the request's id, 16 hexadecimal digits
 * @param requestClass name of the request class
 * @param attributes the fields on which the scheduler decides
 */
record CallFields(String id, String requestClass, RequestAttributes attributes) {
    private static final Pattern REQUEST_ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Pattern INTEGER = Pattern.compile("[0-9]{1,9}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");
    /** Maximum of the time left, as a multiple of the class's deadline. */
    private static final double MAX_TIME_LEFT_PER_DEADLINE = 4;
    /** Maximum of the estimated work, as a multiple of the class's deadline. */
    private static final double MAX_WORK_PER_DEADLINE = 1000;
    /** Maximum of the estimated memory: a terabyte, more than any engine has. */
    private static final double MAX_ESTIMATED_MEMORY_MB = 1 << 20;

    /**
     * Validates an invocation.
     *
     * @throws InvalidCallException if the statement is absent or a field is invalid
     */
    static CallFields parse(ThriftReader.Invocation invocation, Names names) throws InvalidCallException {
        if (invocation.statement() == null) {
            throw InvalidCallException.noStatement();
        }
        Map<CallField, String> fields = invocation.fields();
        String id = requireMatch(fields, CallField.ID, REQUEST_ID);
        String requestClass = fields.getOrDefault(CallField.REQUEST_CLASS, "");
        int classIndex = names.classes().indexOf(requestClass);
        require(classIndex >= 0, CallField.REQUEST_CLASS);
        double deadlineMs = names.deadlinesMs().get(classIndex);
        // The response names the first invalid field, so the order of validation is part of the protocol.
        int tenant = tenant(fields, names);
        int timeLeftMs = timeLeftMs(fields, deadlineMs * MAX_TIME_LEFT_PER_DEADLINE);
        boolean retry = isClientRetry(fields);
        double maxWorkMs = deadlineMs * MAX_WORK_PER_DEADLINE;
        double workMs = estimate(fields, CallField.ESTIMATED_WORK_MS, maxWorkMs);
        double memoryMb = estimate(fields, CallField.ESTIMATED_MEMORY_MB, MAX_ESTIMATED_MEMORY_MB);
        int tableGroup = TableGroups.groupOf(invocation.statement().toString(StandardCharsets.UTF_8));
        RequestAttributes attributes =
                new RequestAttributes(classIndex, tenant, timeLeftMs, workMs, memoryMb, tableGroup, retry);
        return new CallFields(id, requestClass, attributes);
    }

    private static int tenant(Map<CallField, String> fields, Names names) throws InvalidCallException {
        if (names.tenants().isEmpty()) {
            return RequestAttributes.DEFAULT_TENANT;
        }
        int tenant = names.tenants().indexOf(fields.getOrDefault(CallField.TENANT, ""));
        require(tenant >= 0, CallField.TENANT);
        return tenant;
    }

    private static int timeLeftMs(Map<CallField, String> fields, double maxMs) throws InvalidCallException {
        int timeLeftMs = Integer.parseInt(requireMatch(fields, CallField.TIME_LEFT_MS, INTEGER));
        boolean inRange = timeLeftMs > 0 && timeLeftMs <= maxMs;
        require(inRange, CallField.TIME_LEFT_MS);
        return timeLeftMs;
    }

    private static boolean isClientRetry(Map<CallField, String> fields) throws InvalidCallException {
        String value = fields.getOrDefault(CallField.CLIENT_RETRY, ThriftProtocol.FIELD_FALSE);
        boolean isRetry = value.equals(ThriftProtocol.FIELD_TRUE);
        require(isRetry || value.equals(ThriftProtocol.FIELD_FALSE), CallField.CLIENT_RETRY);
        return isRetry;
    }

    private static double estimate(Map<CallField, String> fields, CallField field, double maximum)
            throws InvalidCallException {
        if (!fields.containsKey(field)) {
            return RequestAttributes.NO_ESTIMATE;
        }
        double value = Double.parseDouble(requireMatch(fields, field, DECIMAL));
        require(value <= maximum, field);
        return value;
    }

    private static String requireMatch(Map<CallField, String> fields, CallField field, Pattern pattern)
            throws InvalidCallException {
        String value = fields.getOrDefault(field, "");
        require(pattern.matcher(value).matches(), field);
        return value;
    }

    private static void require(boolean isValid, CallField field) throws InvalidCallException {
        if (!isValid) {
            throw InvalidCallException.invalidField(field);
        }
    }
}
