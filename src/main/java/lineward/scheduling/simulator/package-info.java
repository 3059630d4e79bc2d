/**
 * The simulator's protocol: hosts {@link lineward.scheduling.execution.SpeculativeScheduler}s for a simulator
 * that speaks on standard input and output. {@code BatchReader} turns records into events,
 * {@code ReplyWriter} turns actions into records; the codes stand there alone. {@code SettingsReader} maps
 * the settings' keys, which the platform's protocol shares. It uses the scheduling package and a JSON parser,
 * runs on the thread that calls it, and bounds a frame at 1 GB.
 */
package lineward.scheduling.simulator;
