package lineward.mysql.session;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The classification of statements. */
public class StatementKindTest {
    @DataProvider
    public Object[][] statements() {
        return new Object[][] {
            {"select 1", "Read"},
            {"  /* x */ SELECT replace(a, 'b', 'c') from t", "Read"},
            {"(select 1) union (select 2)", "Read"},
            {"show tables", "Read"},
            {"explain select 1", "Read"},
            {"select 'update' from `insert`", "Read"},
            {"select @@session.sql_mode", "Read"},
            {"with x as (select 1) select * from x", "Read"},
            {"with x as (select 1) delete from t", "Write"},
            {"select 1 for update", "Write"},
            {"select 1 into outfile 'x'", "Write"},
            {"select 1 /*! into outfile 'x' */", "Write"},
            {"/*!50000 delete from t */", "Write"},
            {"insert into t values (1)", "Write"},
            {"call p()", "Write"},
            {"", "Write"},
            {"truncate t", "Write"},
            {"select @a := 1", "Rejected"},
            {"select @a", "Rejected"},
            {"select get_lock('a', 1)", "Rejected"},
            {"select Last_Insert_Id ()", "Rejected"},
            {"start transaction", "Rejected"},
            {"begin", "Rejected"},
            {"lock tables t read", "Rejected"},
            {"prepare s from 'select 1'", "Rejected"},
            {"drop temporary table t", "Rejected"},
            {"set sql_mode = ''", "SetVariables"},
            {"rollback to s", "Rejected"},
            {"rollback work to s", "Rejected"},
            {"rollback", "NoOperation"},
            {"COMMIT", "NoOperation"},
            {"SET NAMES 'utf8mb4' COLLATE x", "SetVariables"},
            {"use `sales`", "UseSchema"}
        };
    }

    @Test(dataProvider = "statements")
    public void classifiesStatements(String text, String kind) {
        assertEquals(StatementKind.of(text).getClass().getSimpleName(), kind);
    }
}
