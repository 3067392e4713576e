package relay

import "bytes"

// eventSplitter splits a stream into complete server-sent events. The zero value is ready to use.
type eventSplitter struct {
	buf []byte
	out []byte // the result of feed; reused, since long streams have many events
}

// feed adds data and returns all events that are now complete, with the id of the last one that
// has an id. The slice is valid until the next call.
func (e *eventSplitter) feed(data []byte) (complete []byte, lastEventID string) {
	e.buf = append(e.buf, data...)
	end := lastBoundary(e.buf)
	if end == 0 {
		return nil, ""
	}
	e.out = append(e.out[:0], e.buf[:end]...)
	e.buf = append(e.buf[:0], e.buf[end:]...)
	return e.out, lastID(e.out)
}

// partial returns the bytes after the last complete event.
func (e *eventSplitter) partial() []byte { return e.buf }

// lastBoundary returns the position after the last empty line; 0 if there is none.
func lastBoundary(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + len("\n\n")
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+len("\n\r\n"))
	}
	return end
}

// lastID returns the value of the last id field; "" if there is none.
func lastID(b []byte) string {
	for len(b) > 0 {
		i := bytes.LastIndexByte(b[:len(b)-1], '\n')
		line := bytes.TrimRight(b[i+1:], "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
		if i < 0 {
			return ""
		}
		b = b[:i+1]
	}
	return ""
}

// firstID returns the value of the first id field; "" if there is none.
func firstID(b []byte) string {
	for line := range bytes.Lines(b) {
		if value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
