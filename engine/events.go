package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// eventLimit is the largest server-sent event in bytes.
const eventLimit = 1 << 20

// streamBuffer is the size of each buffer of a stream in bytes. Most events are smaller.
const streamBuffer = 1 << 10

// errTooLong is the error of an event over eventLimit.
var errTooLong = errors.Newf("event is longer than %d bytes", eventLimit)

// rawEvent is one server-sent event.
type rawEvent struct {
	id   string
	data []byte
}

// eventReader splits a body into server-sent events. Comments only show life.
type eventReader struct {
	r     *bufio.Reader
	alive func() // called after every line
}

// newEventReader returns a reader of body that calls alive after every line.
func newEventReader(body io.Reader, alive func()) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(body, streamBuffer), alive: alive}
}

// next returns the next event. A body that ends inside an event is an
// io.ErrUnexpectedEOF.
func (e *eventReader) next() (rawEvent, error) {
	var event rawEvent
	var size int
	for {
		line, err := e.line(eventLimit - size)
		if err != nil {
			return rawEvent{}, err
		}
		e.alive()
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

// add reads one line of an event.
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

// line returns the next line without its end, of at most limit bytes. It is
// valid until the next call.
func (e *eventReader) line(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := e.r.ReadSlice('\n')
		if err == nil && line == nil && len(part) <= limit {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		line = append(line, part...)
		if len(line) > limit {
			return nil, errTooLong
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

// FromStart is the offset by which a stream is resumed from its beginning.
const FromStart = -1

// parseID splits an event id into its stream and offset.
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
