/**
 * The simulator's protocol: runs {@link lineward.scheduling.execution.SpeculativeScheduler}s for a simulator
 * that communicates over standard input and output. {@code BatchReader} and {@code EventRecord} decode
 * records to events, {@code ReplyWriter} encodes actions as records; no other class knows the codes.
 * {@code SettingsReader} maps the keys of the settings, which the configuration file of a front end has too.
 * The package uses the scheduling module and a JSON parser, runs on the thread that calls it, and limits a
 * frame to 1 GB.
 */
package lineward.scheduling.simulator;
