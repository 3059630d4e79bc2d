package lineward.thrift;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Pattern;
import lineward.core.RequestAttributes;
import lineward.core.TableGroups;
import lineward.thrift.ThriftServer.Names;

/**
 * The validated fields of a request: only these reach the decisions and the engines.
 *
 * @param id the request's id, 16 hexadecimal digits
 * @param requestClass the class's name
 * @param attributes what decisions need
 */
record CallFields(String id, String requestClass, RequestAttributes attributes) {
    private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Pattern INTEGER = Pattern.compile("[0-9]{1,9}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");
    private static final String NO = "0";
    private static final String YES = "1";
    /** A client that waits for more than this multiple of its class's deadline is none of the platform's. */
    private static final double MAX_TIME_LEFT_PER_DEADLINE = 4;
    /** An estimate beyond this multiple of the class's deadline is none of the platform's. */
    private static final double MAX_WORK_PER_DEADLINE = 1000;
    /** A terabyte: no engine has as much. */
    private static final double MAX_ESTIMATED_MEMORY_MB = 1 << 20;

    /**
     * Validates an invocation.
     *
     * @throws InvalidCallException if there is no statement, or a field can't be used
     */
    static CallFields parse(ThriftReader.Invocation invocation, Names names) throws InvalidCallException {
        if (invocation.statement() == null) {
            throw InvalidCallException.noStatement();
        }
        Map<String, String> fields = invocation.fields();
        String id = matching(fields, CallField.ID, ID);
        String requestClass = fields.getOrDefault(CallField.REQUEST_CLASS.wireName, "");
        int classIndex = names.classes().indexOf(requestClass);
        require(classIndex >= 0, CallField.REQUEST_CLASS);
        double deadlineMs = names.deadlines().get(classIndex);
        // The client is told of the first field that can't be used: their order is part of the protocol.
        int tenant = tenant(fields, names);
        int timeLeftMs = timeLeftMs(fields, deadlineMs);
        boolean retry = isClientRetry(fields);
        double maxWorkMs = deadlineMs * MAX_WORK_PER_DEADLINE;
        double workMs = optionalDecimal(fields, CallField.ESTIMATED_WORK_MS, maxWorkMs);
        double memoryMb = optionalDecimal(fields, CallField.ESTIMATED_MEMORY_MB, MAX_ESTIMATED_MEMORY_MB);
        int tableGroup = TableGroups.of(invocation.statement().toString(StandardCharsets.UTF_8));
        RequestAttributes attributes =
                new RequestAttributes(classIndex, tenant, timeLeftMs, workMs, memoryMb, tableGroup, retry);
        return new CallFields(id, requestClass, attributes);
    }

    private static int tenant(Map<String, String> fields, Names names) throws InvalidCallException {
        if (names.tenants().isEmpty()) {
            return 0;
        }
        int tenant = names.tenants().indexOf(fields.getOrDefault(CallField.TENANT.wireName, ""));
        require(tenant >= 0, CallField.TENANT);
        return tenant;
    }

    private static int timeLeftMs(Map<String, String> fields, double deadlineMs) throws InvalidCallException {
        int timeLeftMs = Integer.parseInt(matching(fields, CallField.TIME_LEFT_MS, INTEGER));
        boolean inRange = timeLeftMs > 0 && timeLeftMs <= deadlineMs * MAX_TIME_LEFT_PER_DEADLINE;
        require(inRange, CallField.TIME_LEFT_MS);
        return timeLeftMs;
    }

    private static boolean isClientRetry(Map<String, String> fields) throws InvalidCallException {
        String value = fields.getOrDefault(CallField.CLIENT_RETRY.wireName, NO);
        require(value.equals(YES) || value.equals(NO), CallField.CLIENT_RETRY);
        return value.equals(YES);
    }

    /** Returns the field's value, from 0 to the maximum; 0 if it is absent. */
    private static double optionalDecimal(Map<String, String> fields, CallField field, double maximum)
            throws InvalidCallException {
        if (!fields.containsKey(field.wireName)) {
            return 0;
        }
        double value = Double.parseDouble(matching(fields, field, DECIMAL));
        require(value <= maximum, field);
        return value;
    }

    private static String matching(Map<String, String> fields, CallField field, Pattern form)
            throws InvalidCallException {
        String value = fields.getOrDefault(field.wireName, "");
        require(form.matcher(value).matches(), field);
        return value;
    }

    private static void require(boolean usable, CallField field) throws InvalidCallException {
        if (!usable) {
            throw InvalidCallException.invalid(field);
        }
    }
}
