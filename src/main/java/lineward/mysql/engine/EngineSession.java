package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import lineward.mysql.engine.ConnectionState.Transition;
import lineward.mysql.session.SessionSettings;
import lineward.mysql.session.Work;
import lineward.mysql.wire.Texts;

/** The session of one connection to an engine: its settings, schema and prepared statements. */
final class EngineSession {
    private final EngineStatementCache prepared;
    /** Empty until a schema is selected. */
    private String schema = "";
    /** The settings of the session that differ from the engine's defaults. */
    private Map<String, String> settings = Map.of();

    EngineSession(EngineStatementCache prepared) {
        this.prepared = prepared;
    }

    /**
     * Returns whether the attempt can run here: once selected, a schema can be changed but not unselected.
     */
    boolean hasSchemaFor(QueryAttempt attempt) {
        return schema.isEmpty() || !attempt.work().schema().isEmpty();
    }

    /** Returns whether the session has the attempt's settings. */
    boolean hasSettingsFor(QueryAttempt attempt) {
        return settings.equals(attempt.settings());
    }

    /** Returns the next step of the attempt: settings, schema, preparation, and then its command. */
    Transition nextStep(QueryAttempt attempt) {
        Work work = attempt.work();
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

    /** Returns the statement that applies the attempt's settings, in the form of {@link Texts}. */
    String settingsChangeFor(QueryAttempt attempt) {
        return Texts.latin1(SessionSettings.change(settings, attempt.settings()));
    }

    /** The engine has applied the attempt's settings. */
    void settingsApplied(QueryAttempt attempt) {
        settings = attempt.settings();
    }

    /** The engine has selected the schema. */
    void schemaSelected(String selected) {
        schema = selected;
    }

    /** The engine has completed the work successfully. */
    void completed(Work work) {
        if (work instanceof Work.UseSchema) {
            schema = work.schema();
        }
    }

    /** Returns the prepared statement of the work; null if it is not prepared here. */
    EngineStatementCache.Prepared preparedFor(Work.Execute work) {
        return prepared.find(key(work));
    }

    /** Reads a packet of the reply to a preparation; the last packet completes the preparation. */
    void readPrepared(ByteBuf frame, boolean isLast, Work work) {
        prepared.readPacket(frame);
        if (isLast) {
            prepared.complete(key(work));
        }
    }

    /**
     * Returns the key of a prepared statement. The key contains the settings, because an engine parses a text
     * with the settings at the time of the preparation.
     */
    private String key(Work work) {
        String text = work instanceof Work.Execute execute ? execute.text() : ((Work.Prepare) work).text();
        return settings + work.schema() + '\0' + text;
    }
}
