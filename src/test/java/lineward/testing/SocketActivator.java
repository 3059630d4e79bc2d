package lineward.testing;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Owns a listening socket and starts programs that inherit it as descriptor 0, as the platform does. A Perl
 * script does this, because Java can't pass a socket to a child process.
 */
public final class SocketActivator implements AutoCloseable {
    private static final String SCRIPT = """
        use Socket; use Fcntl; use POSIX (); $| = 1; $SIG{CHLD} = 'IGNORE';
        socket(my $s, PF_INET, SOCK_STREAM, 0); setsockopt($s, SOL_SOCKET, SO_REUSEADDR, 1);
        bind($s, sockaddr_in(0, INADDR_LOOPBACK)) && listen($s, 64) or die;
        my ($port) = sockaddr_in(getsockname($s));
        open(my $in, '<&', \\*STDIN);
        print "$port\\n";
        while (my $line = <$in>) {
            chomp $line;
            if ($line eq 'blocking') { fcntl($s, F_SETFL, fcntl($s, F_GETFL, 0) & ~O_NONBLOCK); next; }
            my ($out, $env, @command) = split /\\t/, $line;
            my $pid = fork;
            if (!$pid) {
                POSIX::dup2(fileno($s), 0);
                open(STDOUT, '>', $out); open(STDERR, '>&', \\*STDOUT);
                for (split /;/, $env) { my ($k, $v) = split /=/, $_, 2; $ENV{$k} = $v; }
                exec @command;
            }
            print "$pid\\n";
        }
        """;
    private final Process process;
    private final int port;

    public SocketActivator() throws IOException {
        process = new ProcessBuilder("perl", "-e", SCRIPT)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        port = readNumber();
    }

    private int readNumber() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = process.getInputStream().read();
                c != '\n';
                c = process.getInputStream().read()) {
            if (c < 0) {
                throw new IOException("the Perl script has exited");
            }
            line.append((char) c);
        }
        return Integer.parseInt(line.toString());
    }

    /** Returns the port that the socket listens on. */
    public int port() {
        return port;
    }

    /** Makes the socket blocking, for all processes that share it. */
    public void makeBlocking() throws IOException {
        send("blocking");
    }

    /** Starts a program, and redirects its output to the file {@code out}. */
    public ProcessHandle start(String logFile, String environment, List<String> command) throws IOException {
        send(logFile + '\t' + environment + '\t' + String.join("\t", command));
        return ProcessHandle.of(readNumber()).orElseThrow(() -> new IOException("the program has exited"));
    }

    private void send(String line) throws IOException {
        OutputStream out = process.getOutputStream();
        out.write((line + '\n').getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    @Override
    public void close() {
        process.destroy();
    }
}
