package lineward.thrift;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import lineward.core.Demand;

/** What a client's fields say, checked: only this reaches the decisions and the engines. */
record CallFields(String id, String op, Demand demand) {
    private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Pattern WHOLE = Pattern.compile("[0-9]{1,9}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    /**
     * @param group of the tables that the statement names
     * @throws IllegalArgumentException with a plain reason if a field can't be used
     */
    static CallFields of(Map<String, String> fields, List<String> classes, List<String> tenants, int group) {
        String id = matching(fields, "call", ID);
        String op = fields.getOrDefault("op", "");
        int type = classes.indexOf(op);
        require(type >= 0, "op");
        int customer = tenants.isEmpty() ? 0 : tenants.indexOf(fields.getOrDefault("org", ""));
        require(customer >= 0, "org");
        int ttl = Integer.parseInt(matching(fields, "ttl", WHOLE));
        require(ttl > 0, "ttl");
        String repeat = fields.get("rep");
        require(repeat == null || repeat.equals("1") || repeat.equals("0"), "rep");
        return new CallFields(id, op, new Demand(type, customer, ttl, decimal(fields, "work"),
                decimal(fields, "mem"), group, "1".equals(repeat)));
    }

    private static double decimal(Map<String, String> fields, String name) {
        return fields.containsKey(name) ? Double.parseDouble(matching(fields, name, DECIMAL)) : 0;
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
