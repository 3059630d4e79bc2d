package lineward.mysql.wire;

/** The role of a packet in an engine's reply. */
public enum PacketRole {
    /** A packet before the rows, or any but the last packet of a reply to COM_STMT_PREPARE. */
    HEAD,
    /** The EOF packet between the columns and the rows. */
    HEAD_END,
    /** A complete row, or the last packet of a row that is split over several packets. */
    ROW,
    /** A part of a row that the next packet continues. */
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
