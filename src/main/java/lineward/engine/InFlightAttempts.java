package lineward.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lineward.core.ByteBudget;
import lineward.frontend.RateLimitedLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The attempts in flight on one connection. Dispatches each reply to its attempt, on the event loop. */
final class InFlightAttempts {
    private static final Logger LOGGER = LoggerFactory.getLogger(InFlightAttempts.class);
    private static final RateLimitedLog LOG = new RateLimitedLog(LOGGER);

    /** Attempts by id, in the order in which they started; the pool limits their number. */
    private final Map<String, QueryAttempt> attempts = new LinkedHashMap<>();

    private final EndedAttempts endedAttempts = new EndedAttempts();
    private final ByteBudget pageBudget;

    /** @param pageBudget the bytes that the pages of all incomplete results may use */
    InFlightAttempts(ByteBudget pageBudget) {
        this.pageBudget = pageBudget;
    }

    /** Returns whether an attempt with this id may be added, given the maximum in flight. */
    boolean accepts(String id, int maxAttempts) {
        boolean idIsFree = !attempts.containsKey(id) && !endedAttempts.contains(id);
        return idIsFree && attempts.size() < maxAttempts && !endedAttempts.isFull();
    }

    int size() {
        return attempts.size();
    }

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    boolean contains(QueryAttempt attempt) {
        return attempts.get(attempt.id()) == attempt;
    }

    void add(QueryAttempt attempt) {
        attempts.put(attempt.id(), attempt);
    }

    /**
     * Sends the request of an attempt, or ends the attempt if it is past its start deadline.
     *
     * @param onSent called once the last byte of the request was written to the socket
     */
    void send(QueryAttempt attempt, RequestWriter writer, Runnable onSent) {
        if (attempt.isPastStartDeadline(System.nanoTime())) {
            attempts.remove(attempt.id());
            attempt.end(AttemptEnd.NOT_SENT);
            return;
        }
        attempt.requestWritten();
        writer.startQuery(attempt, () -> {
            attempt.requestSent();
            onSent.run();
        });
    }

    /** Calls {@link #send} for each attempt. */
    void sendAll(RequestWriter writer, Runnable onSent) {
        List.copyOf(attempts.values()).forEach(attempt -> send(attempt, writer, onSent));
    }

    /** Cancels an attempt without notifying its listener; returns whether a cancel was sent to the engine. */
    boolean cancel(QueryAttempt attempt, RequestWriter writer) {
        attempts.remove(attempt.id());
        boolean isWritten = attempt.isRequestWritten();
        if (isWritten) {
            endedAttempts.add(attempt);
            sendCancel(attempt, writer);
        }
        attempt.discard();
        return isWritten;
    }

    private static void sendCancel(QueryAttempt attempt, RequestWriter writer) {
        if (attempt.hasFirstPage()) {
            writer.closeResult(attempt.id());
        } else {
            writer.cancelQuery(attempt.id());
        }
    }

    /**
     * Handles a reply and takes ownership of its body. Duplicates, and replies to attempts that are not in
     * flight, are ignored.
     *
     * @throws MalformedReplyException if a page was not requested or is invalid
     */
    void handle(Reply reply, RequestWriter writer) {
        try {
            dispatch(reply, writer);
        } catch (MalformedReplyException e) {
            reply.body().release();
            throw e;
        }
    }

    private void dispatch(Reply reply, RequestWriter writer) {
        QueryAttempt attempt = attempts.get(reply.id());
        if (attempt == null || attempt.isDuplicate(reply)) {
            reply.body().release();
            return;
        }
        switch (reply.type()) {
            case FIRST_PAGE -> addFirstPage(attempt, reply, writer);
            case NEXT_PAGE -> addPage(attempt, reply, writer);
            case REJECTED -> endWithoutResult(attempt, reply, AttemptEnd.REJECTED);
            case EXPIRED -> endWithoutResult(attempt, reply, AttemptEnd.EXPIRED);
            case ERROR -> endWithoutResult(attempt, reply, AttemptEnd.ENGINE_ERROR);
            case PROGRESS -> {
                reply.body().release();
                attempt.progressed(reply);
            }
            case HEALTHY, UNHEALTHY -> reply.body().release();
        }
    }

    private void addFirstPage(QueryAttempt attempt, Reply reply, RequestWriter writer) {
        int pageCount = reply.integer(LineProtocol.PAGE_COUNT_FIELD);
        if (!attempt.addFirstPage(pageCount, reply.body(), pageBudget)) {
            discardResult(attempt, reply, writer);
            return;
        }
        for (int pageIndex = 1; pageIndex < pageCount; pageIndex++) {
            writer.readPage(attempt.id(), pageIndex);
        }
        completeIfAllPages(attempt, writer);
    }

    private void addPage(QueryAttempt attempt, Reply reply, RequestWriter writer) {
        if (attempt.addPage(reply.integer(LineProtocol.PAGE_INDEX_FIELD), reply.body())) {
            completeIfAllPages(attempt, writer);
        } else {
            discardResult(attempt, reply, writer);
        }
    }

    private void discardResult(QueryAttempt attempt, Reply reply, RequestWriter writer) {
        LOG.info("result discarded", "attempt", attempt.id(), "the memory for incomplete results is full");
        writer.closeResult(attempt.id());
        endWithoutResult(attempt, reply, AttemptEnd.RESULT_DISCARDED);
    }

    private void completeIfAllPages(QueryAttempt attempt, RequestWriter writer) {
        if (attempt.hasAllPages()) {
            attempts.remove(attempt.id());
            if (attempt.pageCount() > 1) {
                writer.closeResult(attempt.id());
            }
            attempt.end(AttemptEnd.COMPLETED);
        }
    }

    private void endWithoutResult(QueryAttempt attempt, Reply reply, AttemptEnd end) {
        reply.body().release();
        attempts.remove(attempt.id());
        endedAttempts.add(attempt);
        attempt.end(end);
    }

    /** Removes and returns all attempts; the caller takes ownership. */
    List<QueryAttempt> removeAll() {
        List<QueryAttempt> removed = List.copyOf(attempts.values());
        attempts.clear();
        return removed;
    }

    /** Makes the ids of ended attempts available again if their timeouts have passed. */
    void freeExpiredIds(long nowNanos) {
        endedAttempts.removeExpired(nowNanos);
    }
}
