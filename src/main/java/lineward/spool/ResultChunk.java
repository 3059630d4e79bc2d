package lineward.spool;

/**
 * One block of a result, as its reader receives it.
 *
 * @param bytes complete rows, or the packets before or after all rows
 * @param rows number of rows in it
 */
@SuppressWarnings("ArrayRecordComponent") // passed on once, never compared
public record ResultChunk(byte[] bytes, int rows) {}
