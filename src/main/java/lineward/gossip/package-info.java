/**
 * Gossip between the front ends of one tier: UDP datagrams of at most 256 bytes, which may be lost, late,
 * duplicated or corrupt. {@link lineward.gossip.GossipSocket} owns the socket. It decides from which
 * addresses messages are accepted, how long they may be and how many are read in one turn of the event loop;
 * {@code lineward.scheduling} decides their content. If the settings forbid gossip, no socket is opened.
 *
 * <p>The package uses Netty only. It runs on one event loop and keeps only the addresses of the tier; a
 * message is dropped if the socket's buffer is full. {@code docs/architecture.md} gives the overview.
 */
package lineward.gossip;
