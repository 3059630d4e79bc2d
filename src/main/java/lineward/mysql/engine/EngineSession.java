package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import lineward.mysql.engine.MysqlConnectionState.Transition;
import lineward.mysql.session.SessionSettings;
import lineward.mysql.session.Work;
import lineward.mysql.wire.Latin1Texts;

/** The session state of a connection to an engine: its settings, schema and prepared statements. */
final class EngineSession {
    private final EngineStatementCache statements;
    /** Empty until a schema has been selected. */
    private String schema = "";
    /** The session variables that differ from the engine's defaults. */
    private Map<String, String> settings = Map.of();

    EngineSession(EngineStatementCache statements) {
        this.statements = statements;
    }

    /**
     * Returns whether the attempt can run in this session. MySQL can change a selected schema but not
     * unselect it, so that an attempt without a schema needs a session without one.
     */
    boolean canRun(MysqlQueryAttempt attempt) {
        return schema.isEmpty() || !attempt.command().schema().isEmpty();
    }

    /** Returns whether the session already has the attempt's settings. */
    boolean hasSettingsFor(MysqlQueryAttempt attempt) {
        return settings.equals(attempt.sessionSettings());
    }

    /** Returns the next step of the attempt, in the order settings, schema, preparation, command. */
    Transition nextStep(MysqlQueryAttempt attempt) {
        Work command = attempt.command();
        if (!hasSettingsFor(attempt)) {
            return Transition.APPLY_SETTINGS;
        }
        if (needsSchema(command)) {
            return Transition.SELECT_SCHEMA;
        }
        boolean needsPreparation = command instanceof Work.Execute && !statements.contains(cacheKey(command));
        return needsPreparation ? Transition.PREPARE : Transition.EXECUTE;
    }

    private boolean needsSchema(Work command) {
        boolean differs = !command.schema().isEmpty() && !command.schema().equals(schema);
        return differs && !(command instanceof Work.UseSchema);
    }

    /** Returns the SET statement that applies the attempt's settings, encoded as in {@link Latin1Texts}. */
    String settingsStatementFor(MysqlQueryAttempt attempt) {
        return Latin1Texts.encode(SessionSettings.changeStatement(settings, attempt.sessionSettings()));
    }

    /** Records that the engine has applied the attempt's settings. */
    void settingsApplied(MysqlQueryAttempt attempt) {
        settings = attempt.sessionSettings();
    }

    /** Records that the engine has selected the schema. */
    void schemaSelected(String selected) {
        schema = selected;
    }

    /** Records that the engine has completed the attempt's command successfully. */
    void commandCompleted(Work command) {
        if (command instanceof Work.UseSchema) {
            schema = command.schema();
        }
    }

    /** Returns the statement that the command executes; null if it is not prepared on this connection. */
    EngineStatementCache.Statement statementFor(Work.Execute command) {
        return statements.find(cacheKey(command));
    }

    /** Reads a packet of the reply to COM_STMT_PREPARE; the last one completes the preparation. */
    void readPrepareReply(ByteBuf frame, boolean isLast, Work command) {
        statements.readPrepareReply(frame);
        if (isLast) {
            statements.storePending(cacheKey(command));
        }
    }

    /**
     * Returns the cache key of a prepared statement. It includes the settings, because an engine parses the
     * text with the settings that apply when it prepares the statement.
     */
    private String cacheKey(Work work) {
        String text = work instanceof Work.Execute execute ? execute.text() : ((Work.Prepare) work).text();
        return settings + work.schema() + '\0' + text;
    }
}
