package httpserve

import "peridotusher.example/peridotusher/tcp"

// Gate reads the requests of a connection until it is shut. Connections embed it to implement the part of Conn that
// concerns requests.
type Gate struct {
	tcp.ReadGate
	// Requests reads the connection. It is set before the first Read.
	Requests *RequestReader
}

// Read implements io.Reader.
func (g *Gate) Read(b []byte) (int, error) { return g.Receive(g.Requests, b) }

// BeginRequest implements Conn.
func (g *Gate) BeginRequest(length int64) bool { return g.Requests.BeginRequest(length) }

// MarkIdle implements Conn.
func (g *Gate) MarkIdle() {
	g.ReadGate.MarkIdle()
	g.Requests.MarkIdle()
}

// Shut shuts the gate, so that no more requests are read.
func (g *Gate) Shut() {
	g.ReadGate.Shut()
	if g.Requests != nil {
		g.Requests.End()
	}
}
