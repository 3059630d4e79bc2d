/**
 * Gossip between the front ends of one tier over UDP, in datagrams of at most 256 bytes that may be lost,
 * late, duplicated or corrupt. {@link lineward.gossip.GossipSocket} owns the socket and determines the
 * accepted sender addresses, the maximum message size and the number of datagrams read per iteration of the
 * event loop. The contents of the messages are defined in {@code lineward.scheduling}. If the settings
 * disable gossip, no socket is opened.
 *
 * <p>This package depends on Netty only. It runs on one event loop and stores only the addresses of the tier.
 * A message is dropped if the socket's send buffer is full. See {@code docs/architecture.md} for an overview.
 */
package lineward.gossip;
