package lineward.discovery;

/** An action that {@link PollPolicy} requests and {@link DiscoveryClient} performs on the event loop. */
sealed interface PollStep {

    /** Calls the handler's method for this type of step. */
    void dispatchTo(Handler handler);

    /** Performs steps; has one method for each type of step. */
    interface Handler {
        void connect(Connect step);

        void sendPoll(SendPoll step);

        void close(Close step);

        /** Reads the configuration file. */
        void readFile(ReadFile step);

        /** Logs that no valid response was received for some time. */
        void warnNoResponse(WarnNoResponse step);
    }

    /** Opens a connection to the address, identified by the given number. */
    record Connect(int connectionNumber, String address) implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.connect(this);
        }
    }

    /** Sends a poll on an established connection. */
    record SendPoll(int connectionNumber) implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.sendPoll(this);
        }
    }

    /** Closes a connection; later events of it are ignored. */
    record Close(int connectionNumber) implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.close(this);
        }
    }

    /**
     * Reads the configuration file and reports the result by {@link PollPolicy#fileReadSucceeded} or {@link
     * PollPolicy#fileReadFailed}. The policy requests no other read before that report.
     */
    record ReadFile() implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.readFile(this);
        }
    }

    /**
     * Logs a warning that no valid response was received for some time.
     *
     * @param lastResponseAgeMs time since the last valid response, or since the start if there was none
     * @param lastFault the most recent fault, or {@link PollFault#NO_RESPONSE} if there was none
     */
    record WarnNoResponse(String address, double lastResponseAgeMs, PollFault lastFault) implements PollStep {
        @Override
        public void dispatchTo(Handler handler) {
            handler.warnNoResponse(this);
        }
    }
}
