package lineward.mysql.session;

import lineward.core.ByteBudget;

/**
 * Limits on the prepared statements of clients.
 *
 * @param maxStatements maximum number of statements of one client
 * @param textBudget budget for the texts of the statements of all clients together
 */
public record StatementLimits(int maxStatements, ByteBudget textBudget) {}
