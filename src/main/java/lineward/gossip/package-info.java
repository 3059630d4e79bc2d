/**
 * Words between the front ends of one tier: UDP datagrams of at most 256 bytes, which may be lost, late,
 * doubled or spoilt. What they say is the decision module's; here is only who may speak, how long a word may
 * be and how many are heard in one turn. No socket is opened where the settings bar it. Runs on the event
 * loop; uses {@code core} only.
 */
package lineward.gossip;
