package entry

import (
	"context"
	"net/http"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/service"
)

// services answers calls to plain services.
type services struct {
	host *Host
}

// Call implements caller.Services.
func (s *services) Call(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	if call.Service.Idempotent(call.Method, call.Path) {
		return s.callAny(ctx, call, serviceRequest(call, true))
	}
	if call.Key != "" {
		return s.callOnce(ctx, call)
	}
	if !call.Service.SingleSends() {
		return caller.ServiceAnswer{}, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseKeyMissing, "%s %s of service %q may not be repeated; send an Idempotency-Key header", call.Method, call.Path, call.Service.Name())
	}
	return s.callAny(ctx, call, serviceRequest(call, false))
}

// callAny sends the call to the replicas in turn while the verdict allows it.
func (s *services) callAny(ctx context.Context, call caller.ServiceCall, req service.Request) (caller.ServiceAnswer, error) {
	var last error = peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseNoEndpoint, "service %q has no replicas", call.Service.Name())
	for _, replica := range s.replicas(call) {
		response, err := s.host.plain.Call(ctx, replica.Address(), req)
		if err == nil && req.Fence != 0 && response.Status == http.StatusPreconditionFailed {
			return caller.ServiceAnswer{Endpoint: replica.Address()}, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseFenced, "the endpoint has run a call that was claimed later; send the call again").WithRetryAfter(claimRetryAfter)
		}
		if err == nil {
			return caller.ServiceAnswer{Status: response.Status, Header: response.Header, Body: response.Body, Endpoint: replica.Address()}, nil
		}
		last = err
		if !req.Idempotent && peridotusher.AsFailure(err).Verdict() != peridotusher.NotRun {
			return caller.ServiceAnswer{Endpoint: replica.Address()}, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return caller.ServiceAnswer{}, last
}

// replicas returns the service's endpoints, those of the router's own zone first.
func (s *services) replicas(call caller.ServiceCall) []document.Replica {
	var near, far []document.Replica
	for _, r := range call.Service.Replicas() {
		if r.Zone() == s.host.Zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	return append(near, far...)
}

func serviceRequest(call caller.ServiceCall, idempotent bool) service.Request {
	return service.Request{
		Method:     call.Method,
		Path:       call.Path,
		Query:      call.Query,
		Header:     call.Header,
		Body:       call.Body,
		Idempotent: idempotent,
		Key:        call.Key,
	}
}
