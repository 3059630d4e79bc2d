import java.io.IOException;
import java.io.OutputStream;

/**
 * A client reads a term report of 256 rows, the last of which holds a text of 12 MB. It must get all rows, or an
 * answer of which it can tell that it is not whole.
 */
final class LargeReport extends Case2 {
    private static final int ROWS = 256;
    private static final int TEXT_BYTES = 12_000_000;
    private static final int TEXT_BYTES_WITHOUT_TROUBLE = 120_000;
    private static final int QUERIES = 5;

    public static void main(String[] args) throws Exception {
        run(new LargeReport(), args);
    }

    private MysqlEngine2 engine(String name) throws IOException {
        return new MysqlEngine2(name, record) {
            @Override
            void execute(OutputStream out, String text, boolean binary) throws IOException {
                int sequence = writeHead(out, 1);
                for (int i = 0; i < ROWS - 1; i++) {
                    Packets2.write(out, sequence++, row(1, ("child " + i).getBytes(), binary));
                }
                byte[] value = new byte[trouble ? TEXT_BYTES : TEXT_BYTES_WITHOUT_TROUBLE];
                java.util.Arrays.fill(value, (byte) 'r');
                byte[] length = {
                    (byte) 0xfd, (byte) value.length, (byte) (value.length >> 8), (byte) (value.length >> 16)
                };
                Packets2.write(out, sequence++, Packets2.payload(length, value));
                Packets2.write(out, sequence, Packets2.eof());
                record.line("engine %s writes %d rows, the last one with a text of %d bytes", name, ROWS, value.length);
            }
        };
    }

    @Override
    void play() throws Exception {
        MysqlEngine2 first = engine("db-1");
        MysqlEngine2 second = engine("db-2");
        String engines = FrontEnd2.engine("db-1", first.port(), "ready")
                + FrontEnd2.engine("db-2", second.port(), "ready");
        try (FrontEnd2 frontEnd = new FrontEnd2(root, folder, engines, record)) {
            for (int i = 0; i < QUERIES; i++) {
                try (MysqlClient2 client = new MysqlClient2(frontEnd.mysqlPort, "office", "little-steps")) {
                    client.setTimeoutMs(16_000);
                    record.line("client sends the term report");
                    read(client);
                } catch (IOException e) {
                    record.line("client can tell that the answer is not whole: %s", e);
                }
            }
        }
    }

    /** Reads one reply and checks the sequence number of each packet, as clients do. */
    private void read(MysqlClient2 client) throws IOException {
        client.send(Packets2.QUERY, "select report from term_report".getBytes());
        int sequence = 1;
        int rows = 0;
        int ends = 0;
        while (ends < 2) {
            Packets2.Packet packet = client.readPacket();
            if (packet.sequence() != (sequence & 0xff)) {
                throw new IOException("packet " + packet.sequence() + " instead of " + (sequence & 0xff));
            }
            sequence++;
            if (packet.isError()) {
                throw new IOException(packet.errorText());
            }
            if (packet.isEof()) {
                ends++;
            } else if (ends == 1) {
                rows++;
            }
        }
        record.line("client gets a whole answer of %d rows", rows);
        if (rows != ROWS) {
            broken("the client got %d of %d rows in an answer that looks whole", rows, ROWS);
        }
    }
}
