package lineward.scheduling;

/** The engines that recognise an idempotency key after a first engine has received it. */
public enum DeduplicationScope {
    /** All engines. */
    ALL {
        @Override
        public boolean covers(Endpoint first, Endpoint second) {
            return true;
        }
    },
    /** The engines in the zone of the first one. */
    ZONE {
        @Override
        public boolean covers(Endpoint first, Endpoint second) {
            return first.zone() == second.zone();
        }
    },
    /** The engines in the cell of the first one. */
    CELL {
        @Override
        public boolean covers(Endpoint first, Endpoint second) {
            return first.cell() == second.cell();
        }
    };

    /** Returns whether the second engine recognises keys that the first one has received. */
    public abstract boolean covers(Endpoint first, Endpoint second);
}
