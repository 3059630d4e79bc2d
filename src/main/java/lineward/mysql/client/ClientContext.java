package lineward.mysql.client;

import java.util.Map;
import java.util.function.Supplier;
import lineward.frontend.ReceiveBudget;
import lineward.frontend.SendBudget;
import lineward.mysql.session.StatementLimits;
import lineward.spool.Spool;

/**
 * The configuration and the components that all client sessions share.
 *
 * @param passwords passwords by user name
 * @param maxPayloadBytes maximum payload of a packet from a client, in bytes
 * @param receiveBudget limits the bytes that are buffered for packets that can't be processed yet
 * @param sendBudget limits the bytes of replies that clients have not read
 * @param statistics returns the text of the reply to COM_STATISTICS
 */
public record ClientContext(
        ConnectedClients clients,
        Map<String, String> passwords,
        int maxPayloadBytes,
        StatementLimits statementLimits,
        Spool spool,
        ReceiveBudget receiveBudget,
        SendBudget sendBudget,
        QueryDispatcher dispatcher,
        Supplier<String> statistics) {}
