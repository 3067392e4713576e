package relay

import (
	"net/http"

	"peridotusher.example/peridotusher/httphead"
)

// CheckHeads returns a transport that accepts only answers whose heads are valid, for calls other than requests of
// clients. Their errors are marked as httphead.ErrMalformed.
func CheckHeads(base *http.Transport) http.RoundTripper { return &httphead.Transport{Base: base} }
