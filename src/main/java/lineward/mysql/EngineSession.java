package lineward.mysql;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import lineward.mysql.ConnectionState.Transition;

/** What is in place in the session of one connection to an engine, and what an attempt still needs there. */
final class EngineSession {
    private final EngineStatementCache prepared;
    /** Empty until one has been selected. */
    private String schema = "";
    /** The settings of the session that differ from the engine's defaults. */
    private Map<String, String> settings = Map.of();

    EngineSession(EngineStatementCache prepared) {
        this.prepared = prepared;
    }

    /** Returns whether the attempt can run here: a schema once selected can be changed but not given up. */
    boolean hasSchemaFor(QueryAttempt attempt) {
        return schema.isEmpty() || !attempt.work.schema().isEmpty();
    }

    /** Returns whether the attempt finds its settings in place. */
    boolean hasSettingsFor(QueryAttempt attempt) {
        return settings.equals(attempt.settings);
    }

    /** Returns the next step of the attempt: settings, schema and preparation go ahead of its own command. */
    Transition nextStep(QueryAttempt attempt) {
        Work work = attempt.work;
        if (!hasSettingsFor(attempt)) {
            return Transition.APPLY_SETTINGS;
        }
        if (needsSchema(work)) {
            return Transition.SELECT_SCHEMA;
        }
        boolean needsPreparation = work instanceof Work.Execute && !prepared.contains(key(work));
        return needsPreparation ? Transition.PREPARE : Transition.EXECUTE;
    }

    private boolean needsSchema(Work work) {
        boolean differs = !work.schema().isEmpty() && !work.schema().equals(schema);
        return differs && !(work instanceof Work.UseSchema);
    }

    /** Returns the statement, in Latin-1, that brings the attempt's settings into place. */
    String settingsChangeFor(QueryAttempt attempt) {
        return Texts.latin1(SessionSettings.change(settings, attempt.settings));
    }

    /** The attempt's settings are in place. */
    void settingsApplied(QueryAttempt attempt) {
        settings = attempt.settings;
    }

    /** That schema is in place. */
    void schemaSelected(String selected) {
        schema = selected;
    }

    /** The work succeeded; where it selects a schema, that is in place. */
    void completed(Work work) {
        if (work instanceof Work.UseSchema) {
            schema = work.schema();
        }
    }

    /** Returns the prepared statement that the work executes, or null. */
    EngineStatementCache.Prepared preparedFor(Work.Execute work) {
        return prepared.find(key(work));
    }

    /** Reads a packet of the reply to the preparation for that work; the last packet brings it into place. */
    void readPrepared(ByteBuf frame, boolean isLast, Work work) {
        prepared.readPacket(frame);
        if (isLast) {
            prepared.complete(key(work));
        }
    }

    /**
     * Returns the key of a prepared statement. It contains the settings, as an engine parses a text by those
     * that hold when it is prepared.
     */
    private String key(Work work) {
        String text = work instanceof Work.Execute execute ? execute.text() : ((Work.Prepare) work).text();
        return settings + work.schema() + '\0' + text;
    }
}
