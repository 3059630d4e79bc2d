package lineward.core;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which table group is derived from a statement. */
public class TableGroupsTest {
    @DataProvider
    public Object[][] statements() {
        return new Object[][] {
            {"select * from sales_17.orders", 17},
            {"insert into `sales_3`.t select 1", 3},
            {"select 'sales_4.t' from staging.x join \"sales_5\".y", 5},
            {"select o_9.a from sales_6.orders o_9", 6},
            {"-- from sales_1.t\nselect 1 from b_2.t", 2},
            {"select /* from a_1.t */ 1 # from a_2.t", 0},
            {"update staging.t set a = x_7.b", 7},
            {"select 'it''s from a_1.b', \"q\\\"\" from c_8 . d", 8},
            {"select 1 from t_5", 0},
            {"", 0},
            {"select '", 0},
            {"/*", 0},
            {"`", 0},
            {"x_.y a_1234567.z _5.q", 5},
            {"select " + "'a".repeat(30_000), 0}
        };
    }

    @Test(dataProvider = "statements")
    public void groupIsTheNumberOfTheSchema(String statement, int group) {
        assertEquals(TableGroups.groupOf(statement), group);
    }
}
