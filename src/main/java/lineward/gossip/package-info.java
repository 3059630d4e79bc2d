/**
 * Gossip between the front ends of one tier: UDP datagrams of at most 256 bytes, which may be lost, late,
 * duplicated or corrupt. {@link lineward.gossip.GossipSocket} owns the socket and decides who is listened to,
 * how long a message may be and how many are read in one turn of the event loop; what the messages say
 * belongs to the decision module. Where the settings bar gossip, no socket is opened.
 *
 * <p>The package uses Netty only. It runs on one event loop and keeps nothing but the members' addresses; a
 * message that finds the socket's buffer full is dropped. Its place in the whole is in {@code
 * docs/architecture.md}.
 */
package lineward.gossip;
