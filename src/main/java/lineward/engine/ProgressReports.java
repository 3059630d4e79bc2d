package lineward.engine;

import java.util.Map;
import java.util.regex.Pattern;
import lineward.engine.QueryAttempt.Listener;
import lineward.scheduling.ProgressKind;

/** Reads what an engine notes of a run that is not over. What says nothing of use is passed over. */
final class ProgressReports {
    /** Digits enough for any share or number of megabytes, and no more. */
    private static final Pattern AMOUNT = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,18})?");

    private static final int FOR_MEMORY = 1;
    private static final int FOR_LOAD = 2;

    private ProgressReports() {}

    /** Tells the listener what the note says, if it is one that is known and its figure makes sense. */
    static void read(Map<String, String> fields, Listener listener) {
        String amount = fields.getOrDefault("datum", "");
        if (!AMOUNT.matcher(amount).matches()) {
            return;
        }
        double figure = Double.parseDouble(amount);
        ProgressKind kind = switch (fields.getOrDefault("n", "")) {
            case "done" -> figure <= 1 ? ProgressKind.RATIO_DONE : null;
            case "spills" -> ProgressKind.SPILLING;
            case "waits" ->
                figure == FOR_MEMORY
                        ? ProgressKind.WAITING_FOR_MEMORY
                        : figure == FOR_LOAD ? ProgressKind.WAITING_FOR_LOAD : null;
            default -> null;
        };
        if (kind != null) {
            listener.progressed(kind, figure);
        }
    }
}
