package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"peridotusher.example/peridotusher"
)

// verdictHeader names the header that carries the verdict of a failed request.
const verdictHeader = "X-Verdict"

// statusClientClosedRequest is the status, as nginx has it, of a request whose caller
// disconnected before the answer.
const statusClientClosedRequest = 499

// errorBody is the error object of the chat-completions format.
type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Verdict string  `json:"verdict"`
}

func newErrorBody(f *peridotusher.Failure) errorBody {
	return errorBody{Error: errorObject{
		Message: f.Error(),
		Type:    errorType(statusOf(f)),
		Code:    string(f.Cause()),
		Verdict: f.Verdict().String(),
	}}
}

// writeFailure answers with the failure's status, verdict and error object.
func writeFailure(w http.ResponseWriter, f *peridotusher.Failure) {
	if f.RetryAfter() > 0 {
		seconds := int(math.Ceil(f.RetryAfter().Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set(verdictHeader, f.Verdict().String())
	writeJSON(w, statusOf(f), newErrorBody(f))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// statusOf returns the HTTP status of a failure's cause.
func statusOf(f *peridotusher.Failure) int {
	switch f.Cause() {
	case peridotusher.CauseBadRequest, peridotusher.CauseKeyMissing, peridotusher.CauseKeyExpired:
		return http.StatusBadRequest
	case peridotusher.CauseBadKey:
		return http.StatusUnauthorized
	case peridotusher.CauseUnknownModel, peridotusher.CauseUnknownRoute:
		return http.StatusNotFound
	case peridotusher.CauseTooLarge:
		return http.StatusRequestEntityTooLarge
	case peridotusher.CauseOverloaded, peridotusher.CauseOrgLimit:
		return http.StatusTooManyRequests
	case peridotusher.CauseKeyReused:
		return http.StatusUnprocessableEntity
	case peridotusher.CauseKeyBusy, peridotusher.CauseOutcomeUnknown, peridotusher.CauseOutcomeLost:
		return http.StatusConflict
	case peridotusher.CauseDeadline:
		return http.StatusGatewayTimeout
	case peridotusher.CauseEndpointLost, peridotusher.CauseEndpointError:
		return http.StatusBadGateway
	case peridotusher.CauseCallerDisconnected:
		return statusClientClosedRequest
	default:
		return http.StatusServiceUnavailable
	}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
