package lineward.thrift;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The request fields that the front end reads, with their wire names. */
enum CallField {
    /** The request's id. */
    ID("call"),
    /** The name of the request class. */
    REQUEST_CLASS("op"),
    /** The name of the tenant. */
    TENANT("org"),
    /** How long the client still waits, in milliseconds. */
    TIME_LEFT_MS("ttl"),
    /** The client's estimate of the work, in milliseconds on one core. */
    ESTIMATED_WORK_MS("work"),
    /** The client's estimate of the memory, in megabytes. */
    ESTIMATED_MEMORY_MB("mem"),
    /** Whether the request is the client's retry of an earlier one. */
    CLIENT_RETRY("rep");

    private static final Map<String, CallField> BY_WIRE_NAME =
            Arrays.stream(values()).collect(Collectors.toMap(CallField::wireName, Function.identity()));

    private final String wireName;

    CallField(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the wire name of the field. */
    String wireName() {
        return wireName;
    }

    /** Returns the field with that wire name; empty for fields that the front end ignores. */
    static Optional<CallField> ofWireName(String name) {
        return Optional.ofNullable(BY_WIRE_NAME.get(name));
    }
}
