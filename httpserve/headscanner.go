package httpserve

import "bytes"

// headScanner finds the end of the head of a request and counts what it consists of. The zero value expects the
// first byte of a head.
type headScanner struct {
	bytes   int  // from the first byte that is no line end
	lines   int  // complete lines
	inLine  bool // whether the current line has a byte other than its end
	started bool // whether a byte other than a line end was read
}

// feed reads more of the head and returns how many bytes belong to it, and whether it ends with them. Line ends
// before a head belong to it, but are not counted.
func (s *headScanner) feed(b []byte) (n int, ended bool) {
	for n < len(b) {
		line, _, whole := bytes.Cut(b[n:], []byte{'\n'})
		size := len(line)
		if whole {
			size++
		}
		n += size
		if len(bytes.Trim(line, "\r")) > 0 {
			s.inLine, s.started = true, true
		}
		if !s.started {
			continue
		}
		s.bytes += size
		if !whole {
			continue
		}
		if !s.inLine {
			return n, true
		}
		s.lines++
		s.inLine = false
	}
	return n, false
}
