package lineward.mysql.client;

import java.util.Map;
import java.util.function.Supplier;
import lineward.mysql.session.StatementLimits;
import lineward.spool.Spool;

/**
 * What all clients share.
 *
 * @param passwords passwords by user name
 * @param maxPacketBytes largest payload of a client's packet
 * @param statistics returns the answer to COM_STATISTICS
 */
public record ClientContext(
        ConnectedClients clients,
        Map<String, String> passwords,
        int maxPacketBytes,
        StatementLimits statementLimits,
        Spool spool,
        QueryDispatcher dispatcher,
        Supplier<String> statistics) {}
