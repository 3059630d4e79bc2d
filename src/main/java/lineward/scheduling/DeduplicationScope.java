package lineward.scheduling;

/** Which engines recognise the idempotency keys of the first one. */
public enum DeduplicationScope {
    /** All engines. */
    ALL {
        @Override
        public boolean covers(Endpoint first, Endpoint second) {
            return true;
        }
    },
    /** Those of its zone. */
    ZONE {
        @Override
        public boolean covers(Endpoint first, Endpoint second) {
            return first.zone() == second.zone();
        }
    },
    /** Those of its cell. */
    CELL {
        @Override
        public boolean covers(Endpoint first, Endpoint second) {
            return first.cell() == second.cell();
        }
    };

    /** Returns whether the second engine recognises the keys of the first one. */
    public abstract boolean covers(Endpoint first, Endpoint second);
}
