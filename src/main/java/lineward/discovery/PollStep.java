package lineward.discovery;

/** What the poll policy asks its caller to do. */
sealed interface PollStep {

    /** Hands this step to the method of the handler that takes its type. */
    void dispatchTo(Handler handler);

    /** Takes the steps apart: one method for each type. */
    interface Handler {
        /** Open a connection. */
        void connect(Connect step);

        /** Send a poll. */
        void sendPoll(SendPoll step);

        /** Close a connection. */
        void close(Close step);

        /** Read the configuration file. */
        void readFile(ReadFile step);

        /** Warn that the service is silent. */
        void warnOfSilence(WarnOfSilence step);
    }

    /** Opens a connection to the address; it has that number from now on. */
    record Connect(int connection, String address) implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.connect(this);
        }
    }

    /** Sends a poll on a connection that is open. */
    record SendPoll(int connection) implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.sendPoll(this);
        }
    }

    /** Closes a connection and forgets it. */
    record Close(int connection) implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.close(this);
        }
    }

    /**
     * Reads the configuration file and reports {@link PollPolicy#fileRead} or {@link
     * PollPolicy#fileUnreadable}. The next such step comes only after that report.
     */
    record ReadFile() implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.readFile(this);
        }
    }

    /**
     * Logs that no usable response has come.
     *
     * @param silentMs time since the last usable response, or since the start if none has come
     * @param lastFault what went wrong last
     */
    record WarnOfSilence(String address, double silentMs, PollFault lastFault) implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.warnOfSilence(this);
        }
    }
}
