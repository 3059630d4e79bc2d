package lineward.mysql;

/** One command of a client that an engine must answer. */
public final class Query {
    final ClientSession client;
    final Work work;
    final int type;
    long request;
    MysqlRun run;
    int runOf = -1;
    boolean open;

    /** @param type the place of its class in the planner's settings */
    Query(ClientSession client, Work work, int type) {
        this.client = client;
        this.work = work;
        this.type = type;
    }

    /** @return the place of its class in the configuration */
    public int place() {
        return type / 2;
    }

    @Override
    public String toString() {
        return "client " + client.number() + " request " + request;
    }
}
