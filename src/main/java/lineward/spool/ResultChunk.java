package lineward.spool;

/**
 * A part of a result.
 *
 * @param bytes complete rows, or what stands before or behind all rows
 * @param rows in it
 */
@SuppressWarnings("ArrayRecordComponent") // handed on once, never compared
public record ResultChunk(byte[] bytes, int rows) {}
