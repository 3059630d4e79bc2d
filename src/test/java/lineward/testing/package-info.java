/**
 * Fake servers and clients for tests with real sockets and processes: engines, a service discovery, the
 * program as a child process, and clients of its protocols. The names of the wire protocols are in
 * {@link lineward.testing.TestingLineProtocol} and {@link lineward.testing.RequestFields}.
 */
package lineward.testing;
