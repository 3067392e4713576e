package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes is the largest server-sent event in bytes.
	maxEventBytes = 256 << 10
	// maxSkippedBytes limits the comments and the events that are of no use between two that are.
	maxSkippedBytes = 4 << 20
)

// streamBufferBytes is the size of each buffer of a stream in bytes. Most events are smaller.
const streamBufferBytes = 1 << 10

// errEventTooLong is the error of an event over maxEventBytes.
var errEventTooLong = errors.Newf("event is longer than %d bytes", maxEventBytes)

// errNoEvent is the error of a stream without any event of use in maxSkippedBytes.
var errNoEvent = errors.Newf("no event of use in %d bytes", maxSkippedBytes)

// rawEvent is one server-sent event.
type rawEvent struct {
	id   string
	data []byte
}

// eventReader splits a body into server-sent events. Comment lines yield no event,
// but onLine is called for them too, so that they count as activity.
type eventReader struct {
	r       *bufio.Reader
	onLine  func() // called after every line
	skipped int    // bytes read since the last call of accept
}

// newEventReader returns a reader of body that calls onLine after every line.
func newEventReader(body io.Reader, onLine func()) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(body, streamBufferBytes), onLine: onLine}
}

// next returns the next event, or io.ErrUnexpectedEOF at the end of the body,
// because a complete stream ends with its done marker.
func (e *eventReader) next() (rawEvent, error) {
	var event rawEvent
	var size int
	for {
		line, err := e.line(maxEventBytes - size)
		if err != nil {
			return rawEvent{}, err
		}
		e.onLine()
		e.skipped += len(line) + 1
		if e.skipped > maxSkippedBytes {
			return rawEvent{}, errNoEvent
		}
		size += len(line)
		if len(line) == 0 {
			if event.data != nil {
				return event, nil
			}
			event, size = rawEvent{}, 0
			continue
		}
		event.add(line)
	}
}

// accept records that the event that next returned is of use.
func (e *eventReader) accept() { e.skipped = 0 }

// add adds one line to the event.
func (ev *rawEvent) add(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		ev.id = string(value)
	case "data":
		if ev.data == nil {
			ev.data = bytes.Clone(value)
			return
		}
		ev.data = append(append(ev.data, '\n'), value...)
	}
}

// line returns the next line, of at most limit bytes, without its line ending. The
// slice is valid until the next call.
func (e *eventReader) line(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := e.r.ReadSlice('\n')
		if err == nil && line == nil && len(part) <= limit {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		line = append(line, part...)
		if len(line) > limit {
			return nil, errEventTooLong
		}
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// FromStart is the offset in a last event id that resumes a stream from its first
// event.
const FromStart = -1

// parseID splits an event id of the form stream:offset.
func parseID(id string) (stream string, offset int, err error) {
	i := strings.LastIndexByte(id, ':')
	if i <= 0 {
		return "", 0, errors.Newf("event id %q names no stream", id)
	}
	offset, err = strconv.Atoi(id[i+1:])
	if err != nil || offset < FromStart {
		return "", 0, errors.Newf("event id %q has no offset", id)
	}
	return id[:i], offset, nil
}
