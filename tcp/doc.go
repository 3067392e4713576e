// Package tcp sets up the connections of a router and closes them without losing what their peers have
// yet to receive.
//
// The kernel gives up a connection with TCP_USER_TIMEOUT whose data is not acknowledged in time. That
// detects a host that is gone, but would also end a connection whose peer is alive and pauses. Acks
// therefore lifts the timeout while the peer's receive window is closed, and a Closer keeps a connection
// open until its peer has received everything.
//
// The kernel reports a reset once. Writes tells whether a write received the report, so that a read at the
// same time returned an end of file.
//
// The connections of a process that was killed end like those that a process closes in order. HasEnded
// tells which it was.
//
// # Usage
//
//	cfg := net.ListenConfig{KeepAliveConfig: tcp.KeepAlive(), Control: tcp.Control}
//	l, err := cfg.Listen(ctx, "tcp", address)
//	...
//	closer := tcp.NewCloser()
//	err = closer.Close(conn, tcp.NewAcks(conn, tcp.UnackedTimeout), func() {})
//	...
//	closer.Await(grace)
//	closer.Stop()
package tcp
