package httpserve

import "bytes"

// maxChunkBytes is a size of a chunk from which on it is not counted any further.
const maxChunkBytes = 1 << 50

// chunkPart is the part of a chunked body that is expected next.
type chunkPart int

const (
	chunkSize    chunkPart = iota // the line with the size of a chunk
	chunkData                     // the data of a chunk
	chunkEnd                      // the line end behind the data
	chunkTrailer                  // the lines behind the last chunk
)

// chunkScanner finds the end of a chunked body. The zero value expects the first byte of a body. It does not check
// the body, which the reader of the body does.
type chunkScanner struct {
	part   chunkPart
	left   int64 // of the data, or the size as read so far
	sized  bool  // whether the digits of the size have ended
	inLine bool  // whether the current line of the trailer has a byte other than its end
}

// feed reads more of the body and returns how many bytes belong to it, and whether it ends with them.
func (s *chunkScanner) feed(b []byte) (n int, ended bool) {
	for n < len(b) && !ended {
		if s.part == chunkData {
			size := int(min(s.left, int64(len(b)-n)))
			s.left -= int64(size)
			n += size
			if s.left == 0 {
				s.part = chunkEnd
			}
			continue
		}
		line, _, whole := bytes.Cut(b[n:], []byte{'\n'})
		n += len(line)
		s.feedLine(line)
		if whole {
			n++
			ended = s.endLine()
		}
	}
	return n, ended
}

// feedLine reads a part of a line without its end.
func (s *chunkScanner) feedLine(line []byte) {
	switch s.part {
	case chunkSize:
		for _, c := range line {
			s.feedDigit(c)
		}
	case chunkTrailer:
		s.inLine = s.inLine || len(bytes.Trim(line, "\r")) > 0
	}
}

// feedDigit reads a byte of the line with the size of a chunk, which ends with the first one that is no digit.
func (s *chunkScanner) feedDigit(c byte) {
	digit := bytes.IndexByte([]byte("0123456789abcdef"), c|0x20)
	if digit < 0 || c < '0' {
		s.sized = true
	}
	if !s.sized && s.left < maxChunkBytes {
		s.left = s.left<<4 | int64(digit)
	}
}

// endLine reads the end of a line and reports whether it ends the body.
func (s *chunkScanner) endLine() bool {
	switch {
	case s.part == chunkSize && s.left > 0:
		s.part = chunkData
	case s.part == chunkSize:
		s.part = chunkTrailer
	case s.part == chunkEnd:
		*s = chunkScanner{}
	case !s.inLine:
		return true
	}
	s.sized, s.inLine = false, false
	return false
}
