/**
 * Files of the spool: one segment for each result. A segment consists of blocks with their lengths and a
 * CRC32C, compressed if that saves space, and a manifest and an index once the result is complete.
 *
 * <p>Contains the file format ({@link lineward.spool.store.SegmentFormat}, {@code docs/spool-format.md}), the
 * lock of the folder and the I/O threads. May use the core only.
 *
 * <p>Threads: {@link lineward.spool.store.Segment} and {@link lineward.spool.store.SpoolFolder} block;
 * {@link lineward.spool.store.SegmentStore} runs them on one writer and two reader threads and completes on
 * the event loop. Bounds: a file is open only while one call reads or writes it, except the lock; the bytes
 * that are queued for the writer are bounded by {@link lineward.spool.Spool}.
 */
package lineward.spool.store;
