/**
 * Files of the spool: one segment for each result, of blocks that carry their length and a CRC32C, compressed
 * where that helps, followed by an index and a manifest once the result is complete.
 *
 * <p>Owns the byte format ({@link lineward.spool.store.SegmentFormat}, {@code docs/spool-format.md}), the
 * lock of the folder and the I/O threads. May use the core only.
 *
 * <p>Threads: {@link lineward.spool.store.Segment} and {@link lineward.spool.store.SpoolFolder} block;
 * {@link lineward.spool.store.SegmentStore} runs them on one writer and two reader threads and completes on
 * the event loop. Bounds: a file is open only while one call reads or writes it, except the lock; the bytes
 * that are queued for the writer are bounded by {@link lineward.spool.Spool}.
 */
package lineward.spool.store;
