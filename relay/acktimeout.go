package relay

// updateAckTimeouts updates the timeouts of the clients' connections and closes those whose client is
// unreachable.
func (m *answerBuffer) updateAckTimeouts() {
	m.mu.Lock()
	var unread []*clientConn
	for c := range m.conns {
		if c.acks.MayBeUnacked() {
			unread = append(unread, c)
		}
	}
	m.mu.Unlock()
	for _, c := range unread {
		if _, err := c.acks.Update(); err != nil {
			m.mu.Lock()
			m.abort(c, "client", err)
			m.mu.Unlock()
		}
	}
}
