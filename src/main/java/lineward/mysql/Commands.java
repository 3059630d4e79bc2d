package lineward.mysql;

/** First bytes of the commands that are supported; the protocol's names begin with COM_. */
final class Commands {
    static final int QUIT = 0x01;
    static final int INIT_DB = 0x02;
    static final int QUERY = 0x03;
    static final int STATISTICS = 0x09;
    static final int PING = 0x0e;
    static final int PREPARE = 0x16;
    static final int EXECUTE = 0x17;
    static final int LONG_DATA = 0x18;
    static final int CLOSE = 0x19;
    static final int RESET = 0x1a;
    static final int FETCH = 0x1c;
    static final int RESET_CONNECTION = 0x1f;

    private Commands() {}
}
