package lineward.discovery;

/** A step that {@link PollPolicy} decides and {@link DiscoveryClient} carries out on the event loop. */
sealed interface PollStep {

    /** Calls the method of the handler for this type of step. */
    void dispatchTo(Handler handler);

    /** Carries out the steps, with one method for each type. */
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

    /** Opens a connection to the address, under this number. */
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

    /** Closes a connection, whose events are ignored from then on. */
    record Close(int connection) implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.close(this);
        }
    }

    /**
     * Reads the configuration file and reports {@link PollPolicy#fileRead} or {@link
     * PollPolicy#fileUnreadable}. There is no other such step before that report.
     */
    record ReadFile() implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.readFile(this);
        }
    }

    /**
     * Logs a warning: there was no usable response for some time.
     *
     * @param silentMs time since the last usable response, or since the start if there was none
     * @param lastFault the latest fault
     */
    record WarnOfSilence(String address, double silentMs, PollFault lastFault) implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.warnOfSilence(this);
        }
    }
}
