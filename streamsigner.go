package peridotusher

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"strconv"
)

// EventSigner signs the event IDs of one stream. It reuses the keyed state of its
// hash, so that an event costs only the hash of its own text. It is for use by one
// goroutine.
type EventSigner struct {
	mac    hash.Hash
	text   []byte
	signed []byte
}

// NewEventSigner returns a signer with the secret.
func NewEventSigner(secret string) *EventSigner {
	return &EventSigner{mac: hmac.New(sha256.New, []byte(secret))}
}

// EventID returns the signed event ID of the position.
func (s *EventSigner) EventID(p StreamPosition) string {
	s.text = p.appendText(append(s.text[:0], streamMACLabel...))
	s.mac.Reset()
	s.mac.Write(s.text)
	s.signed = s.mac.Sum(s.signed[:0])[:streamMACBytes]
	s.signed = append(s.signed, s.text[len(streamMACLabel):]...)
	return base64.RawURLEncoding.EncodeToString(s.signed)
}

// appendText appends the fields in the order that parsePosition reads.
func (p StreamPosition) appendText(b []byte) []byte {
	const separator = '\n'
	b = append(append(b, p.Engine...), separator)
	b = append(append(b, p.Stream...), separator)
	b = append(strconv.AppendInt(b, int64(p.Offset), 10), separator)
	b = append(strconv.AppendInt(b, int64(p.Base), 10), separator)
	b = append(append(b, p.Organisation...), separator)
	b = append(append(b, p.Request...), separator)
	b = append(append(b, p.Router...), separator)
	return append(b, p.Permit...)
}
