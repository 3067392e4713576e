package httphead

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInformational is the largest number of informational answers before an answer. net/http limits only the
// bytes of each one that it hands on.
const maxInformational = 32

// Transport checks the heads of the answers that another transport reads. Its fields are set before use.
type Transport struct {
	Base *http.Transport
}

// RoundTrip implements http.RoundTripper. The error of a head that is none is marked as ErrMalformed; the
// request may have run then.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	informational := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		if informational++; informational > maxInformational {
			return malformed("more than %d informational ones before it", maxInformational)
		}
		return check(status, http.Header(header))
	}}
	resp, err := t.Base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close() // nothing of it is used
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }
