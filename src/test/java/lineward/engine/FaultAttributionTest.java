package lineward.engine;

import static org.testng.Assert.assertEquals;

import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.ConnectException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which connection failures are attributed to the engine. */
public class FaultAttributionTest {
    @DataProvider
    public Object[][] connectFailures() {
        return new Object[][] {
            {new ConnectException("refused"), 0, true},
            {new ConnectTimeoutException("timeout"), 0, false},
            {new IOException("reset"), 0, false},
            {new IOException("reset"), FaultAttribution.FAILURE_THRESHOLD - 2, false},
            {new IOException("reset"), FaultAttribution.FAILURE_THRESHOLD - 1, true}
        };
    }

    @Test(dataProvider = "connectFailures")
    public void refusedOrRepeatedFailureIsTheEnginesFault(Throwable cause, int losses, boolean engineFault) {
        FaultAttribution faults = new FaultAttribution();
        for (int i = 0; i < losses; i++) {
            faults.connectionLost();
        }
        assertEquals(faults.connectFailed(cause), engineFault);
    }

    @Test
    public void lostConnectionIsTheEnginesFaultWhenNoOtherIsUpOrWhenItRepeats() {
        FaultAttribution faults = new FaultAttribution();
        for (int i = 1; i < FaultAttribution.FAILURE_THRESHOLD; i++) {
            faults.connectionLost();
            assertEquals(faults.endOfLost(true), AttemptEnd.CONNECTION_BROKEN);
            assertEquals(faults.endOfLost(false), AttemptEnd.ENGINE_LOST);
        }
        faults.connectionLost();
        assertEquals(faults.endOfLost(true), AttemptEnd.ENGINE_LOST);
        faults.replyReceived();
        assertEquals(faults.endOfLost(true), AttemptEnd.CONNECTION_BROKEN);
    }

    @Test
    public void overdueConnectionMakesTheEngineUnreachableOnlyWhenItRepeats() {
        FaultAttribution faults = new FaultAttribution();
        faults.connectOverdue();
        assertEquals(faults.endOfOverdue(), AttemptEnd.NOT_SENT);
        faults.connected();
        faults.connectOverdue();
        assertEquals(faults.endOfOverdue(), AttemptEnd.NOT_SENT);
        faults.connectOverdue();
        assertEquals(faults.endOfOverdue(), AttemptEnd.ENGINE_UNREACHABLE);
    }
}
