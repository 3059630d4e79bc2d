package lineward.mysql.wire;

/** The role of a packet in an engine's reply. */
public enum PacketRole {
    /** A packet before the rows. */
    HEAD,
    /** The last packet before the rows. */
    HEAD_END,
    /** A row, or the last packet of a row in several packets. */
    ROW,
    /** A packet of a row that the next packet continues. */
    ROW_PART,
    /** The last packet of a successful reply. */
    LAST_OK,
    /** An error packet, which ends the reply. */
    LAST_ERROR;

    /** Returns whether the reply ends with this packet. */
    public boolean isLast() {
        return this == LAST_OK || this == LAST_ERROR;
    }

    /** Returns whether the packet is a row or the successful end of the reply. */
    public boolean isRowOrSuccess() {
        return this == ROW || this == ROW_PART || this == LAST_OK;
    }
}
