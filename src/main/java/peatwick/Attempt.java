package peatwick;

/** The record of one attempt of a request R at an engine E. */
class Attempt<R, E> {
    final R r;
    final E e;
    final int leg;
    final double sentAt;
    boolean isOut = true;
    boolean early;
    boolean cut;
    boolean trial;
    boolean waiting;
    boolean moved;
    boolean first;
    double waitingFrom;
    double waited;
    double share;
    double shareAt;
    double grant;
    double foretold;

    Attempt(R r, E e, int leg, double now) {
        this.r = r;
        this.e = e;
        this.leg = leg;
        this.sentAt = now;
    }

    /** Time that it ran: waiting stops the clock. */
    double age(double at) {
        return Math.max(0.01, at - sentAt - waited - (waiting ? at - waitingFrom : 0));
    }

    void setWaiting(boolean waits, double now) {
        waited += waiting ? now - waitingFrom : 0;
        waiting = waits;
        waitingFrom = now;
    }
}
