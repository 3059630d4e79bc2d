/**
 * Spooled results: what an engine has answered is held here until its client has read it, so that the engine
 * is free once its answer is complete.
 *
 * <p>{@link lineward.spool.SpoolPolicy} decides, free of I/O: what is held in memory and what goes to files,
 * when a result may no longer grow, who is admitted, how leases lapse and what is given back first. {@link
 * lineward.spool.Spool} carries out on the event loop; files are read and written by the bounded workers of
 * {@code lineward.spool.store}. Uses {@code core} only; knows no protocol: a result is blocks of bytes with a
 * count of rows. Bounds stand in {@link lineward.spool.SpoolLimits}, the design in {@code
 * docs/spool-design.md}.
 */
package lineward.spool;
