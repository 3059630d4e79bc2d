package lineward.scheduling.simulator;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;

/** Connects schedulers to the simulator: batches on standard input, replies on standard output. */
public final class Main {
    private static final String ERROR_PREFIX = "lineward adapter: ";
    private static final int MAX_FRAME_BYTES = 1 << 30;
    private static final int INPUT_BUFFER_BYTES = 1 << 16;
    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final int USAGE_ERROR_STATUS = 2;

    private Main() {}

    /** Runs until the end of the input; the only argument is {@code adapter}. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar lineward.jar adapter");
            System.exit(USAGE_ERROR_STATUS);
        }
        System.exit(run(System.in, new FileOutputStream(FileDescriptor.out), System.err));
    }

    /** Processes the input until it ends. Returns the exit status: 0, or 1 after an error was printed. */
    static int run(InputStream input, OutputStream output, PrintStream errors) {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(input, INPUT_BUFFER_BYTES))) {
            SchedulerInstances instances = new SchedulerInstances();
            for (int firstHeaderByte = in.read(); firstHeaderByte >= 0; firstHeaderByte = in.read()) {
                output.write(processFrame(instances, firstHeaderByte, in));
                output.flush();
            }
            return 0;
        } catch (EOFException e) {
            errors.println(ERROR_PREFIX + "the input ends inside a frame");
        } catch (InputException e) {
            errors.println(ERROR_PREFIX + e.getMessage());
        } catch (IOException e) {
            errors.println(ERROR_PREFIX + "I/O error: " + e.getMessage());
        }
        return 1;
    }

    private static byte[] processFrame(SchedulerInstances instances, int firstHeaderByte, InputStream in)
            throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES).put((byte) firstHeaderByte);
        header.put(readFully(in, HEADER_BYTES - 1)).flip();
        int recordCount = header.getInt();
        int length = header.getInt();
        if (length < 0 || length > MAX_FRAME_BYTES) {
            throw new InputException("frame of " + Integer.toUnsignedLong(length) + " bytes is too long");
        }
        return instances.processBatch(recordCount, ByteBuffer.wrap(readFully(in, length)));
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        return bytes;
    }
}
