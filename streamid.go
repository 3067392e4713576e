package peridotusher

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// streamMACBytes is the length of the signature of an event ID.
	streamMACBytes = 16
	// maxEventID is the longest event ID that is accepted from a caller, in bytes.
	maxEventID = 2048
	// eventIDFields is the number of fields of an event ID.
	eventIDFields = 8
	// streamMACLabel distinguishes these signatures from others with the same secret.
	streamMACLabel = "event id\n"
)

// ErrEventID is the error of ParseEventID.
var ErrEventID = errors.New("not an event id of this fleet")

// StreamPosition is the position up to which a caller has received a stream. It is sent
// to the caller as the event's ID, so that routers keep no state for it.
type StreamPosition struct {
	Engine       EngineID
	Stream       string // the engine's ID of the stream
	Offset       int    // of the last event received from the engine
	Base         int    // number of text chunks that came from previous engines
	Organisation string
	Request      RequestID
	Router       RouterID // the router that sent the event
	Permit       PermitID // the permit of the stream's request
}

// EventID returns the signed event ID of the position.
func (p StreamPosition) EventID(secret string) string {
	return NewEventSigner(secret).EventID(p)
}

// ParseEventID returns the position of an event ID that was signed with the secret.
func ParseEventID(secret, id string) (StreamPosition, error) {
	if len(id) > maxEventID {
		return StreamPosition{}, ErrEventID
	}
	raw, err := base64.RawURLEncoding.DecodeString(id)
	if err != nil || len(raw) < streamMACBytes {
		return StreamPosition{}, ErrEventID
	}
	text := string(raw[streamMACBytes:])
	if !hmac.Equal(raw[:streamMACBytes], streamMAC(secret, text)) {
		return StreamPosition{}, ErrEventID
	}
	return parsePosition(strings.Split(text, "\n"))
}

func parsePosition(fields []string) (StreamPosition, error) {
	if len(fields) != eventIDFields {
		return StreamPosition{}, ErrEventID
	}
	offset, err := strconv.Atoi(fields[2])
	if err != nil || offset < 0 {
		return StreamPosition{}, ErrEventID
	}
	base, err := strconv.Atoi(fields[3])
	if err != nil || base < 0 {
		return StreamPosition{}, ErrEventID
	}
	return StreamPosition{
		Engine:       EngineID(fields[0]),
		Stream:       fields[1],
		Offset:       offset,
		Base:         base,
		Organisation: fields[4],
		Request:      RequestID(fields[5]),
		Router:       RouterID(fields[6]),
		Permit:       PermitID(fields[7]),
	}, nil
}

func streamMAC(secret, text string) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(streamMACLabel + text))
	return mac.Sum(nil)[:streamMACBytes]
}
