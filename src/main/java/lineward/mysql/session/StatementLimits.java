package lineward.mysql.session;

import lineward.core.ByteBudget;

/**
 * Limits on the prepared statements of clients.
 *
 * @param maxStatements maximum number of statements of one client
 * @param maxClientBytes maximum bytes that the statements of one client use
 * @param allClients budget for the bytes that the statements of all clients use together
 */
public record StatementLimits(int maxStatements, long maxClientBytes, ByteBudget allClients) {
    /** The statements of one client may use the budget of all clients divided by this. */
    private static final int CLIENT_DIVISOR = 2;

    /** Returns the limits with a new budget of this capacity for all clients. */
    public static StatementLimits of(int maxStatements, long maxBytes) {
        return new StatementLimits(maxStatements, maxBytes / CLIENT_DIVISOR, new ByteBudget(maxBytes));
    }

    /** Returns the budget of one client, which is a part of the budget of all clients. */
    ByteBudget newClientBudget() {
        return allClients.part(maxClientBytes);
    }
}
