package lineward.engine;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import lineward.engine.QueryAttempt.Listener;
import lineward.scheduling.ProgressKind;

/** Parses an engine's progress reports on a query. Reports of unknown kind or invalid amount are ignored. */
final class ProgressReports {
    /** A decimal number without sign or exponent, with enough digits for a ratio or megabytes. */
    private static final Pattern AMOUNT = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,18})?");

    // Amounts that state what a waiting query waits for.
    private static final int MEMORY_WAIT_CODE = 1;
    private static final int LOAD_WAIT_CODE = 2;

    private ProgressReports() {}

    /** Notifies the listener of the report in these fields if its kind is known and its amount is valid. */
    static void notifyListener(Map<String, String> fields, Listener listener) {
        String amountText = fields.getOrDefault(LineProtocol.PROGRESS_AMOUNT_FIELD, "");
        if (!AMOUNT.matcher(amountText).matches()) {
            return;
        }
        double amount = Double.parseDouble(amountText);
        String kind = fields.getOrDefault(LineProtocol.PROGRESS_KIND_FIELD, "");
        parseKind(kind, amount).ifPresent(known -> listener.progressed(known, amount));
    }

    private static Optional<ProgressKind> parseKind(String kind, double amount) {
        return switch (kind) {
            case LineProtocol.PROGRESS_DONE ->
                Optional.of(ProgressKind.RATIO_DONE).filter(known -> amount <= 1);
            case LineProtocol.PROGRESS_SPILLING -> Optional.of(ProgressKind.SPILLING);
            case LineProtocol.PROGRESS_WAITING -> parseWaitingKind(amount);
            default -> Optional.empty();
        };
    }

    private static Optional<ProgressKind> parseWaitingKind(double amount) {
        if (amount == MEMORY_WAIT_CODE) {
            return Optional.of(ProgressKind.WAITING_FOR_MEMORY);
        }
        return amount == LOAD_WAIT_CODE ? Optional.of(ProgressKind.WAITING_FOR_LOAD) : Optional.empty();
    }
}
