package lineward.mysql;

/** One command of a client that an engine must answer. */
public final class Query {
    final ClientSession client;
    final Work work;
    final String text;
    final int type;
    long request;
    MysqlRun run;
    int runOf = -1;
    boolean open;

    /** @param text the statement as it can be read, for its class and for the logs */
    Query(ClientSession client, Work work, String text, int type) {
        this.client = client;
        this.work = work;
        this.text = text;
        this.type = type;
    }

    /** @return the class's place in the settings of the planner */
    public int type() {
        return type;
    }
}
