package lineward.mysql.session;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** The scheduler's index of a statement's class. */
public class StatementClassTest {
    @Test
    public void readsAndWritesOfEachClassHaveConsecutiveIndexes() {
        assertEquals(new StatementClass(0, false).schedulerIndex(), 0);
        assertEquals(new StatementClass(0, true).schedulerIndex(), 1);
        assertEquals(new StatementClass(3, false).schedulerIndex(), 6);
        assertEquals(new StatementClass(3, true).schedulerIndex(), 7);
    }
}
