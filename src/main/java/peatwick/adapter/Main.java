package peatwick.adapter;

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

/** Joins the decision module to the simulator: batches on standard input, replies on standard output. */
public final class Main {
    private static final int LARGEST_FRAME = 1 << 30;

    private Main() {}

    /** @param args one word, {@code adapter} */
    public static void main(String[] args) {
        PrintStream err = System.err;
        if (args.length != 1 || !args[0].equals("adapter")) {
            err.println("usage: java -jar peatwick.jar adapter");
            System.exit(2);
        }
        System.exit(run(System.in, new FileOutputStream(FileDescriptor.out), err));
    }

    /** @return the exit status: 0 after the end of the input, else 1 with a plain line on the error stream */
    static int run(InputStream input, OutputStream output, PrintStream err) {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(input, 1 << 16))) {
            Instances instances = new Instances();
            for (int first = in.read(); first >= 0; first = in.read()) {
                byte[] rest = in.readNBytes(7);
                if (rest.length < 7) {
                    throw new EOFException();
                }
                ByteBuffer head =
                        ByteBuffer.allocate(8).put((byte) first).put(rest).flip();
                int count = head.getInt();
                int length = head.getInt();
                if (length < 0 || length > LARGEST_FRAME) {
                    throw new WireException("frame of " + (length & 0xffffffffL) + " bytes is too long");
                }
                byte[] body = in.readNBytes(length);
                if (body.length < length) {
                    throw new EOFException();
                }
                output.write(instances.answer(count, ByteBuffer.wrap(body)));
                output.flush();
            }
            return 0;
        } catch (EOFException e) {
            err.println("peatwick: the input ends inside a frame");
        } catch (WireException e) {
            err.println("peatwick: " + e.getMessage());
        } catch (IOException e) {
            err.println("peatwick: cannot read or write: " + e.getMessage());
        }
        return 1;
    }
}
