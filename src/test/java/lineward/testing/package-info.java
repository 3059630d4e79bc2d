/**
 * Fixtures for tests with real sockets and processes: fake engines, a fake service discovery, the program as
 * a child process, and clients of its protocols. {@link lineward.testing.TestingEngineCodec} and {@link
 * lineward.testing.RequestFields} contain the names of the wire protocols.
 */
package lineward.testing;
