package lineward.thrift;

/** The fields of a request that the front end reads, under their names on the wire. */
enum CallField {
    ID("call"),
    REQUEST_CLASS("op"),
    TENANT("org"),
    TIME_LEFT_MS("ttl"),
    ESTIMATED_WORK_MS("work"),
    ESTIMATED_MEMORY_MB("mem"),
    CLIENT_RETRY("rep");

    final String wireName;

    CallField(String wireName) {
        this.wireName = wireName;
    }
}
