/**
 * Stand-ins and clients for tests with real sockets and processes: a platform of two engines and a service
 * discovery, the program as a child process, and clients of its protocols. The words of the wire stand in
 * {@link lineward.testing.TestingLineProtocol} and {@link lineward.testing.RequestFields}.
 */
package lineward.testing;
