package lineward.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The attempts that one connection carries, and what each reply means to them. */
final class InFlightAttempts {
    /** Attempts by id, in the order of their start; the pool bounds their number. */
    private final Map<String, QueryAttempt> attempts = new LinkedHashMap<>();

    private final EndedAttempts endedAttempts = new EndedAttempts();

    /** Returns whether an attempt of this id may be added, with so many in flight at most. */
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
        return attempts.get(attempt.id) == attempt;
    }

    void add(QueryAttempt attempt) {
        attempts.put(attempt.id, attempt);
    }

    /**
     * Sends the request of an attempt that was added, or ends it where it is too late.
     *
     * @param onSent is called once the socket has taken the request's last byte
     */
    void send(QueryAttempt attempt, RequestWriter writer, Runnable onSent) {
        if (attempt.isPastStartDeadline(System.nanoTime())) {
            attempts.remove(attempt.id);
            attempt.end(AttemptEnd.NOT_SENT);
            return;
        }
        attempt.requestWritten = true;
        writer.startQuery(attempt, () -> {
            attempt.requestSent = true;
            onSent.run();
        });
    }

    /** Sends the requests of all attempts, as {@link #send}. */
    void sendAll(RequestWriter writer, Runnable onSent) {
        List.copyOf(attempts.values()).forEach(attempt -> send(attempt, writer, onSent));
    }

    /** Cancels an attempt without notifying its listener; returns whether the engine was notified. */
    boolean cancel(QueryAttempt attempt, RequestWriter writer) {
        attempts.remove(attempt.id);
        if (attempt.requestWritten) {
            endedAttempts.add(attempt);
            sendCancel(attempt, writer);
        }
        attempt.discard();
        return attempt.requestWritten;
    }

    private static void sendCancel(QueryAttempt attempt, RequestWriter writer) {
        if (attempt.hasFirstPage()) {
            writer.closeResult(attempt.id);
        } else {
            writer.cancelQuery(attempt.id);
        }
    }

    /**
     * Handles a reply, and owns its body. Replies under an id that is not in flight and duplicates are
     * ignored.
     *
     * @throws MalformedReplyException if a page was not requested or is not acceptable
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
        attempt.addFirstPage(reply.integer(LineProtocol.PAGE_COUNT_FIELD, -1), reply.body());
        for (int page = 1; page < attempt.pageCount(); page++) {
            writer.readPage(attempt.id, page);
        }
        completeIfAllPages(attempt, writer);
    }

    private void addPage(QueryAttempt attempt, Reply reply, RequestWriter writer) {
        attempt.addPage(reply.integer(LineProtocol.PAGE_INDEX_FIELD, -1), reply.body());
        completeIfAllPages(attempt, writer);
    }

    private void completeIfAllPages(QueryAttempt attempt, RequestWriter writer) {
        if (attempt.hasAllPages()) {
            attempts.remove(attempt.id);
            if (attempt.pageCount() > 1) {
                writer.closeResult(attempt.id);
            }
            attempt.end(AttemptEnd.COMPLETED);
        }
    }

    private void endWithoutResult(QueryAttempt attempt, Reply reply, AttemptEnd end) {
        reply.body().release();
        attempts.remove(attempt.id);
        endedAttempts.add(attempt);
        attempt.end(end);
    }

    /** Removes and returns all attempts; the caller becomes their owner. */
    List<QueryAttempt> removeAll() {
        List<QueryAttempt> removed = List.copyOf(attempts.values());
        attempts.clear();
        return removed;
    }

    /** Frees the ids of ended attempts whose timeouts have passed. */
    void freeExpiredIds(long nowNanos) {
        endedAttempts.removeExpired(nowNanos);
    }
}
