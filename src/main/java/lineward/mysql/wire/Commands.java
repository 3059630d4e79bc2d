package lineward.mysql.wire;

/** Numbers of the supported commands; the MySQL documentation names them COM_QUIT, COM_INIT_DB and so on. */
public final class Commands {
    public static final int QUIT = 0x01;
    public static final int INIT_DB = 0x02;
    public static final int QUERY = 0x03;
    public static final int STATISTICS = 0x09;
    public static final int PING = 0x0e;
    public static final int STMT_PREPARE = 0x16;
    public static final int STMT_EXECUTE = 0x17;
    public static final int STMT_SEND_LONG_DATA = 0x18;
    public static final int STMT_CLOSE = 0x19;
    public static final int STMT_RESET = 0x1a;
    public static final int STMT_FETCH = 0x1c;
    public static final int RESET_CONNECTION = 0x1f;

    private Commands() {}
}
