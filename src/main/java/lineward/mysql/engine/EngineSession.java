package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import lineward.mysql.engine.ConnectionState.Transition;
import lineward.mysql.session.SessionSettings;
import lineward.mysql.session.Work;
import lineward.mysql.wire.Latin1Texts;

/** The session state of a connection to an engine: its settings, schema and prepared statements. */
final class EngineSession {
    private final EngineStatementCache prepared;
    /** Empty until a schema has been selected. */
    private String schema = "";
    /** The session variables that differ from the engine's defaults. */
    private Map<String, String> settings = Map.of();

    EngineSession(EngineStatementCache prepared) {
        this.prepared = prepared;
    }

    /**
     * Returns whether the attempt can run in this session. MySQL can change a selected schema but not
     * unselect it, so that an attempt without a schema needs a session without one.
     */
    boolean hasSchemaFor(QueryAttempt attempt) {
        return schema.isEmpty() || !attempt.work().schema().isEmpty();
    }

    /** Returns whether the session already has the attempt's settings. */
    boolean hasSettingsFor(QueryAttempt attempt) {
        return settings.equals(attempt.settings());
    }

    /** Returns the next step of the attempt, in the order settings, schema, preparation, command. */
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

    /** Returns the SET statement that applies the attempt's settings, encoded as in {@link Latin1Texts}. */
    String settingsChangeFor(QueryAttempt attempt) {
        return Latin1Texts.encode(SessionSettings.changeStatement(settings, attempt.settings()));
    }

    /** Records that the engine has applied the attempt's settings. */
    void settingsApplied(QueryAttempt attempt) {
        settings = attempt.settings();
    }

    /** Records that the engine has selected the schema. */
    void schemaSelected(String selected) {
        schema = selected;
    }

    /** Records that the engine has completed the attempt's command successfully. */
    void completed(Work work) {
        if (work instanceof Work.UseSchema) {
            schema = work.schema();
        }
    }

    /** Returns the statement that the command executes; null if it is not prepared on this connection. */
    EngineStatementCache.Prepared preparedFor(Work.Execute work) {
        return prepared.find(key(work));
    }

    /** Reads a packet of the reply to COM_STMT_PREPARE; the last one completes the preparation. */
    void readPrepared(ByteBuf frame, boolean isLast, Work work) {
        prepared.readPacket(frame);
        if (isLast) {
            prepared.complete(key(work));
        }
    }

    /**
     * Returns the cache key of a prepared statement. It includes the settings, because an engine parses the
     * text with the settings that apply when it prepares the statement.
     */
    private String key(Work work) {
        String text = work instanceof Work.Execute execute ? execute.text() : ((Work.Prepare) work).text();
        return settings + work.schema() + '\0' + text;
    }
}
