package lineward.spool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks lease, retention and backpressure of an account after each event. */
public class ResultAccountTest {
    private static ResultAccount account(boolean keyed, boolean complete, int readers) {
        ResultAccount account = new ResultAccount("a", keyed, 0);
        for (int i = 0; i < readers; i++) {
            account.readerOpened(0);
        }
        if (complete) {
            account.complete(0);
        }
        return account;
    }

    @DataProvider
    public Object[][] lifetimes() {
        return new Object[][] {
            // keyed, complete, readers; whether it has a lease, is retained, is reclaimable
            {false, false, 0, false, false, false},
            {false, false, 1, true, false, false},
            {false, true, 0, true, false, false},
            {true, false, 0, false, false, false},
            {true, false, 1, true, false, false},
            {true, true, 0, true, true, true},
            {true, true, 1, true, true, false}
        };
    }

    @Test(dataProvider = "lifetimes")
    public void leaseAndRetentionDependOnKeyCompletionAndReaders(
            boolean keyed,
            boolean complete,
            int readerCount,
            boolean hasLease,
            boolean isRetained,
            boolean isReclaimable) {
        ResultAccount account = account(keyed, complete, readerCount);
        assertEquals(account.hasLease(), hasLease);
        assertEquals(account.isRetained(), isRetained);
        assertEquals(account.isReclaimable(), isReclaimable);
    }

    @Test
    public void eachUseRenewsTheLease() {
        ResultAccount account = account(true, false, 0);
        account.readerOpened(10);
        assertEquals(account.lastUsedMs(), 10.0);
        account.blockRead(20);
        assertEquals(account.lastUsedMs(), 20.0);
        account.complete(30);
        assertEquals(account.lastUsedMs(), 30.0);
        account.readerClosed(40);
        assertEquals(account.lastUsedMs(), 40.0);
        assertEquals(account.readerCount(), 0);
    }

    @Test
    public void stallLastsSinceStartOfBackpressureOrLatestRead() {
        ResultAccount account = account(false, false, 1);
        account.blockRead(5);
        assertFalse(account.hasBackpressure(), "a read does not start backpressure");
        assertFalse(account.isStalledFor(0, 1e9));
        account.startBackpressure(10);
        assertFalse(account.isStalledFor(100, 110));
        assertTrue(account.isStalledFor(100, 111));
        account.blockRead(50);
        assertFalse(account.isStalledFor(100, 150));
        assertTrue(account.isStalledFor(100, 151));
        account.endBackpressure();
        assertFalse(account.isStalledFor(0, 1e9));
        account.startBackpressure(200);
        account.complete(210);
        assertFalse(account.hasBackpressure(), "a complete result has no backpressure");
    }
}
