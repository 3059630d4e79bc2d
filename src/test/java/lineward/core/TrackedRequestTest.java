package lineward.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the state transitions of requests and attempts, and the bookkeeping that uses them. */
public class TrackedRequestTest {
    private static final TrackedRequestState OPEN = TrackedRequestState.OPEN;
    private static final TrackedRequestState RESPONDING = TrackedRequestState.RESPONDING;
    private static final TrackedRequestState COMPLETED = TrackedRequestState.COMPLETED;

    private static final AttemptState RUNNING = AttemptState.RUNNING;
    private static final AttemptState CANCELLING = AttemptState.CANCELLING;
    private static final AttemptState ENDED = AttemptState.ENDED;

    /** A state, the states after responseStarted() and completed(), and whether it is completed. */
    @DataProvider
    public Object[][] requestTransitions() {
        return new Object[][] {
            {OPEN, RESPONDING, COMPLETED, false},
            {RESPONDING, RESPONDING, COMPLETED, false},
            {COMPLETED, COMPLETED, COMPLETED, true}
        };
    }

    @Test(dataProvider = "requestTransitions")
    public void requestTransitionsLeadToTheirTargets(
            TrackedRequestState state,
            TrackedRequestState responding,
            TrackedRequestState completed,
            boolean isCompleted) {
        assertEquals(state.responseStarted(), responding);
        assertEquals(state.completed(), completed);
        assertEquals(state.isCompleted(), isCompleted);
    }

    /** A state, the states after cancelled() and ended(), and whether it is in flight. */
    @DataProvider
    public Object[][] attemptTransitions() {
        return new Object[][] {
            {RUNNING, CANCELLING, ENDED, true},
            {CANCELLING, CANCELLING, ENDED, true},
            {ENDED, ENDED, ENDED, false}
        };
    }

    @Test(dataProvider = "attemptTransitions")
    public void attemptTransitionsLeadToTheirTargets(
            AttemptState state, AttemptState cancelled, AttemptState ended, boolean isInFlight) {
        assertEquals(state.cancelled(), cancelled);
        assertEquals(state.ended(), ended);
        assertEquals(state.isInFlight(), isInFlight);
    }

    @Test
    public void attemptIsFoundByItsNumberUntilItEnds() {
        TrackedRequest<String> request = new TrackedRequest<>("r", 1_000);
        TrackedAttempt first = request.addAttempt("s-1");
        TrackedAttempt second = request.addAttempt("s-2");
        assertSame(request.attemptInFlight(0), first);
        assertSame(request.attemptInFlight(1), second);
        assertNull(request.attemptInFlight(2));
        request.endAttempt(first);
        assertNull(request.attemptInFlight(0));
        assertEquals(second.number(), 1);
        assertEquals(second.engineId(), "s-2");
    }

    @Test
    public void requestIsReleasableOnceCompletedWithoutAttemptsInFlight() {
        TrackedRequest<String> request = new TrackedRequest<>("r", 1_000);
        assertFalse(request.isReleasable(), "the request is not completed");
        TrackedAttempt attempt = request.addAttempt("s-1");
        assertTrue(request.complete());
        assertFalse(request.complete(), "only the first completion counts");
        assertTrue(attempt.cancel());
        assertFalse(attempt.cancel(), "only the first cancel counts");
        assertFalse(request.isReleasable(), "the cancelled attempt is still in flight");
        request.endAttempt(attempt);
        assertTrue(request.isReleasable());
    }

    @Test
    public void responseBelongsToTheAttemptThatStartedItLast() {
        TrackedRequest<String> request = new TrackedRequest<>("r", 1_000);
        TrackedAttempt first = request.addAttempt("s-1");
        TrackedAttempt second = request.addAttempt("s-2");
        request.startResponse(first);
        assertTrue(request.isResponding(first));
        request.startResponse(second);
        assertFalse(request.isResponding(first));
        assertTrue(request.isResponding(second));
    }

    @Test
    public void resourceLimitsReportAChangeOfPriority() {
        TrackedRequest<String> request = new TrackedRequest<>("r", 1_000);
        int initialPriority = request.priority();
        assertFalse(request.setResourceLimits(64, initialPriority));
        assertTrue(request.setResourceLimits(32, initialPriority + 1));
        assertEquals(request.grantMb(), 32.0);
        assertEquals(request.priority(), initialPriority + 1);
    }
}
