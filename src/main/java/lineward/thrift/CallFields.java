package lineward.thrift;

import java.util.Map;
import java.util.regex.Pattern;
import lineward.core.RequestAttributes;

/** What a client's fields say, checked: only this reaches the decisions and the engines. */
record CallFields(String id, String op, RequestAttributes demand) {
    private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Pattern WHOLE = Pattern.compile("[0-9]{1,9}");
    /** A wait or a work past this multiple of its class's deadline is no figure of a client of ours. */
    private static final double WAIT_RANGE = 4;

    private static final double WORK_RANGE = 1000;
    /** A terabyte: no engine has as much. */
    private static final double MOST_MEMORY_MB = 1 << 20;

    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    /**
     * @param group of the tables that the statement names
     * @throws IllegalArgumentException with a plain reason if a field can't be used
     */
    static CallFields of(Map<String, String> fields, ThriftServer.Names names, int group) {
        String id = matching(fields, "call", ID);
        String op = fields.getOrDefault("op", "");
        int type = names.classes().indexOf(op);
        require(type >= 0, "op");
        double deadline = names.deadlines().get(type);
        int customer = names.tenants().isEmpty() ? 0 : names.tenants().indexOf(fields.getOrDefault("org", ""));
        require(customer >= 0, "org");
        int ttl = Integer.parseInt(matching(fields, "ttl", WHOLE));
        require(ttl > 0 && ttl <= deadline * WAIT_RANGE, "ttl");
        String repeat = fields.get("rep");
        require(repeat == null || repeat.equals("1") || repeat.equals("0"), "rep");
        return new CallFields(
                id,
                op,
                new RequestAttributes(
                        type,
                        customer,
                        ttl,
                        decimal(fields, "work", deadline * WORK_RANGE),
                        decimal(fields, "mem", MOST_MEMORY_MB),
                        group,
                        "1".equals(repeat)));
    }

    private static double decimal(Map<String, String> fields, String name, double most) {
        double value = fields.containsKey(name) ? Double.parseDouble(matching(fields, name, DECIMAL)) : 0;
        require(value <= most, name);
        return value;
    }

    private static String matching(Map<String, String> fields, String name, Pattern form) {
        String value = fields.getOrDefault(name, "");
        require(form.matcher(value).matches(), name);
        return value;
    }

    private static void require(boolean usable, String name) {
        if (!usable) {
            throw new IllegalArgumentException("field " + name + " is missing or can't be used");
        }
    }
}
