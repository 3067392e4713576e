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

// insideEvent reports whether the bytes after the last complete event are a part of an event, so
// that a stream that ends here was broken off. Comments are no events.
func (e *eventSplitter) insideEvent() bool {
	for rest := e.buf; len(rest) > 0; {
		var line []byte
		var ended bool
		line, rest, ended = cutLine(rest)
		isComment := ended && len(line) > 0 && line[0] == ':'
		if len(line) > 0 && !isComment {
			return true
		}
	}
	return false
}

// lineEnds are the characters that end a line, alone or as CR LF.
const lineEnds = "\r\n"

// cutLine returns the first line of b without its end, and what follows it. ended is false if the
// line has no end.
func cutLine(b []byte) (line, rest []byte, ended bool) {
	i := bytes.IndexAny(b, lineEnds)
	if i < 0 {
		return b, nil, false
	}
	return b[:i], bytes.TrimPrefix(bytes.TrimPrefix(b[i:], []byte("\r")), []byte("\n")), true
}

// boundaries are the ends of events: a line end and an empty line.
var boundaries = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// lastBoundary returns the position after the last empty line; 0 if there is none.
func lastBoundary(b []byte) int {
	end := 0
	for _, boundary := range boundaries {
		if i := bytes.LastIndex(b, boundary); i >= 0 {
			end = max(end, i+len(boundary))
		}
	}
	return end
}

// lastID returns the value of the last id field; "" if there is none.
func lastID(b []byte) string {
	for len(b) > 0 {
		i := bytes.LastIndexAny(b[:len(b)-1], lineEnds)
		line := bytes.TrimRight(b[i+1:], lineEnds)
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

// firstID returns the id of the first event, "" if it has none. ok is false if there are only
// comments.
func firstID(b []byte) (id string, ok bool) {
	for len(b) > 0 {
		var line []byte
		line, b, _ = cutLine(b)
		if value, isID := bytes.CutPrefix(line, []byte("id:")); isID {
			return string(bytes.TrimSpace(value)), true
		}
		if len(line) == 0 && ok {
			return "", true // the event ends
		}
		ok = ok || len(line) > 0 && line[0] != ':'
	}
	return "", ok
}
