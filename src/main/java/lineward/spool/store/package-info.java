/**
 * Files of the spool: one segment for each result, of blocks that carry their length and a CRC32C, compressed
 * where that helps, with an index and a manifest behind them once the result is whole. {@code
 * docs/spool-format.md} has the format to the byte.
 *
 * <p>All calls here block and belong on the bounded workers of {@link lineward.spool.store.SpoolFolder},
 * never on the event loop. A file is open only while one call reads or writes it, but for the lock of the
 * folder.
 */
package lineward.spool.store;
